package main

import (
	"errors"
	"fmt"
	"io"

	"firwood.dev/firwood/internal/config"
)

// settingsError marks an error in a settings file, for which the exit status is exitInvalidSettings.
type settingsError struct{ error }

// loadSettings reads and checks both files, and reports the errors of both together. If both are valid,
// it also checks that they are compatible. Every error is a settingsError.
func loadSettings(configPath, settingsPath string) (*config.Platform, config.Tuning, error) {
	platform, platformErr := config.LoadPlatform(configPath)
	tuning, tuningErr := config.LoadTuning(settingsPath)
	err := errors.Join(platformErr, tuningErr)
	if err == nil {
		err = config.CheckCompatibility(platform, tuning)
	}
	if err != nil {
		return nil, tuning, settingsError{err}
	}
	return platform, tuning, nil
}

// checkSettings checks the given files. If the platform's file is given, it also checks whether that
// file's limits suffice for the fleet in the operators' file. A limit that is too low is an error here,
// whereas a controller only logs it.
func checkSettings(out io.Writer, configPath, settingsPath string) error {
	if configPath == "" {
		if _, err := config.LoadTuning(settingsPath); err != nil {
			return settingsError{err}
		}
		fmt.Fprintf(out, "%s: good\n", settingsPath)
		return nil
	}
	platform, tuning, err := loadSettings(configPath, settingsPath)
	if err != nil {
		return err
	}
	var shortfalls []error
	for _, shortfall := range platform.Shortfalls(tuning.FleetMachines) {
		shortfalls = append(shortfalls, shortfall)
	}
	if shortfalls != nil {
		return settingsError{errors.Join(shortfalls...)}
	}
	fmt.Fprintf(out, "%s: good: member %s of %d, %d teams\n", configPath, platform.Member, len(platform.Peers)+1, len(platform.Deployment.Teams))
	if settingsPath != "" {
		fmt.Fprintf(out, "%s: good\n", settingsPath)
	}
	return nil
}
