//go:build race

package sim

const isRaceDetectorOn = true
