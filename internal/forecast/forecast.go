// Package forecast holds what the scheduler learns about its load and what it predicts from that:
// arrivals, run times, boot times, and the cost of a number of warm spare machines.
// It does no I/O and reads no clock: the caller passes times as arguments.
//
// It implements the estimates of SNF-ICON (Pulungan et al., "A Smallest-Need-First Job
// Scheduling Framework with Adaptive Optimization of Idle Node Counts for Energy-Efficient
// HPC Systems"), which comments call the paper. Numbers in parentheses in comments are the paper's
// equations. The paper's symbols have the following names here:
//
//	section, equation   symbol          here
//	IV-A                TM, nmin, nmax  ScreenSettings.Window, MinSamples, MaxSamples
//	IV-A (5), (6)       CV, delta_cv    VariationCoefficient, MaxVariationDeviation
//	IV-A (8), (9)       rho_1, delta_rho  LagCorrelation, MaxLagCorrelation
//	IV-A (10)           D_KS, kappa_m kappa_0  KSDistance, MaxKSDistance
//	IV-D (17)           m_A, rho_A, lambda  meanGapSeconds, Smoothing.Arrival, ArrivalRate
//	IV-D (18)           m_S, rho_S      meanRunSeconds, Smoothing.RunTime
//	IV-D (19)           w_r, rho_R      sizeWeights, Smoothing.DemandSize
//	IV-E (21), (22)     d_C, lambda_C   nearestCompletion, CompletionRate
//	IV-E (23)           lambda_E, pi_A  eventRate, ArrivalRate / eventRate
//	IV-E (24), (25)     H_c, H          HorizonSeconds, meanHorizon
//	IV-G (33), (34)     d_(r)(x)        readyDelays
//	IV-G (35)           W(x)            ExpectedWait
//	IV-H (37)           E(x)            IdleSeconds (of machines, where the paper uses energy)
//	IV-H (38), (39)     x, J(x)         Target, Total
//	IV-H (39)           alpha, beta     waitWeight, idleWeight
//	IV-I                TA_max          the window of HasRecentArrival (Definition 7)
//	A (41)              Y               logRatio
//	A (42), (43)        m_Y, q_Y        meanLogRatio, meanSquaredLogRatio
//	A (45)              sigma_Y         sigma
//	A (46)              D               PredictedSeconds
//	A (47), (48)        theta, zeta     logMedian, standardized
//	A (50), (51)        R               RemainingSeconds
//	B (59)              phi(d; lambda_E)  expectedRemainder
package forecast
