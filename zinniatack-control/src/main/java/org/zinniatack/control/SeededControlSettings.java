package org.zinniatack.control;

import java.util.List;

import org.zinniatack.process.SettingDefault;
import org.zinniatack.process.SettingsValidation;

/**
 * The settings of a control process that finds the others through seed addresses. Its
 * name in the membership is its address.
 *
 * @param name the operators' name for this process, which it also sends as the holder of
 * its orders
 * @param failureDomain the failure domain of this process
 * @param dataFolder the folder for the replicated state
 * @param listenAddress the address for other processes of the system
 * @param operatorAddress the address for operators, trainers and targets
 * @param metricsAddress the address of metrics and the state dump
 * @param seedAddresses the addresses of some control processes, of which only the host is
 * used
 * @param firstStart true if the system has never run, so that the seeds may form it
 * @param toleratedLosses the number of control processes that may fail at the same time
 * @param clusterSecret the secret that all processes share
 * @param platformAddress the address of the platform's interfaces, empty for none
 * @param usageWindowS the length of a usage window, in seconds
 * @param usageGraceMs the time between the end of a window and its closing, in
 * milliseconds
 * @param jobRetentionS the time for which a job can be read after its submission, in
 * seconds
 * @param stopTimeoutS the time in which the process must end after a stop signal, in
 * seconds
 * @param failureDomains the failure domains that operators may evacuate; empty for those
 * of the known targets and control processes
 * @param toleratedDomainLosses the number of failure domains that may be lost at the same
 * time; above 0, no failure domain holds more voters than a quorum can do without
 * @param coldOverage the factor by which requests to a cold target may exceed the rate
 * that it tolerates
 * @param coldSlack the number of requests in a second by which they may exceed it as well
 * @param paceTargets true to limit the outstanding requests of a target that has just
 * started or recovered
 * @param dutyLeaseMs the time within which two processes must not take turns in sending
 * orders and reports, in milliseconds; 0 if they may
 */
public record SeededControlSettings(String name, String failureDomain, String dataFolder, String listenAddress,
		String operatorAddress, String metricsAddress, List<String> seedAddresses, boolean firstStart,
		int toleratedLosses, String clusterSecret, String platformAddress, double usageWindowS, long usageGraceMs,
		double jobRetentionS, double stopTimeoutS, @SettingDefault("[]") List<String> failureDomains,
		@SettingDefault("0") int toleratedDomainLosses, @SettingDefault("1") double coldOverage,
		@SettingDefault("0") double coldSlack, @SettingDefault("false") boolean paceTargets,
		@SettingDefault("3000") long dutyLeaseMs) {

	private static final double MAXIMUM_COLD_OVERAGE = 100;

	private static final double MAXIMUM_COLD_SLACK = 10_000;

	private static final long MAX_GRACE_MS = 60_000;

	private static final int MAX_TOLERATED_LOSSES = 3;

	private static final int MIN_VOTERS = 3;

	static final long DEFAULT_DUTY_LEASE_MS = 3_000;

	static final long MAX_DUTY_LEASE_MS = 60_000;

	/**
	 * Checks the fields.
	 */
	public SeededControlSettings(String name, String failureDomain, String dataFolder, String listenAddress,
			String operatorAddress, String metricsAddress, List<String> seedAddresses, boolean firstStart,
			int toleratedLosses, String clusterSecret, String platformAddress, double usageWindowS, long usageGraceMs,
			double jobRetentionS, double stopTimeoutS, List<String> failureDomains, int toleratedDomainLosses,
			double coldOverage, double coldSlack, boolean paceTargets, long dutyLeaseMs) {
		this.name = SettingsValidation.name("name", name);
		this.failureDomain = SettingsValidation.present("failureDomain", failureDomain);
		this.dataFolder = SettingsValidation.present("dataFolder", dataFolder);
		this.listenAddress = SettingsValidation.address("listenAddress", listenAddress);
		this.operatorAddress = SettingsValidation.address("operatorAddress", operatorAddress);
		this.metricsAddress = SettingsValidation.address("metricsAddress", metricsAddress);
		this.seedAddresses = List.copyOf(SettingsValidation.present("seedAddresses", seedAddresses));
		this.seedAddresses.forEach((seed) -> SettingsValidation.address("seedAddresses", seed));
		this.firstStart = firstStart;
		this.toleratedLosses = (int) SettingsValidation.range("toleratedLosses", toleratedLosses, 0,
				MAX_TOLERATED_LOSSES);
		this.clusterSecret = SettingsValidation.secret("clusterSecret", clusterSecret);
		this.platformAddress = SettingsValidation.present("platformAddress", platformAddress);
		this.usageWindowS = SettingsValidation.seconds("usageWindowS", usageWindowS);
		this.usageGraceMs = SettingsValidation.range("usageGraceMs", usageGraceMs, 0, MAX_GRACE_MS);
		this.jobRetentionS = SettingsValidation.seconds("jobRetentionS", jobRetentionS);
		this.stopTimeoutS = SettingsValidation.seconds("stopTimeoutS", stopTimeoutS);
		this.failureDomains = List.copyOf(SettingsValidation.present("failureDomains", failureDomains));
		this.toleratedDomainLosses = (int) SettingsValidation.range("toleratedDomainLosses", toleratedDomainLosses, 0,
				MAX_TOLERATED_LOSSES);
		this.coldOverage = SettingsValidation.figure("coldOverage", coldOverage, 0, MAXIMUM_COLD_OVERAGE);
		this.coldSlack = SettingsValidation.figure("coldSlack", coldSlack, 0, MAXIMUM_COLD_SLACK);
		this.paceTargets = paceTargets;
		this.dutyLeaseMs = SettingsValidation.range("dutyLeaseMs", dutyLeaseMs, 0, MAX_DUTY_LEASE_MS);
	}

	/**
	 * Creates settings whose optional fields have their defaults.
	 * @param name the operators' name for this process, which it also sends as the holder
	 * of its orders
	 * @param failureDomain the failure domain of this process
	 * @param dataFolder the folder for the replicated state
	 * @param listenAddress the address for other processes of the system
	 * @param operatorAddress the address for operators, trainers and targets
	 * @param metricsAddress the address of metrics and the state dump
	 * @param seedAddresses the addresses of some control processes, of which only the
	 * host is used
	 * @param firstStart true if the system has never run, so that the seeds may form it
	 * @param toleratedLosses the number of control processes that may fail at the same
	 * time
	 * @param clusterSecret the secret that all processes share
	 * @param platformAddress the address of the platform's interfaces, empty for none
	 * @param usageWindowS the length of a usage window, in seconds
	 * @param usageGraceMs the time between the end of a window and its closing, in
	 * milliseconds
	 * @param jobRetentionS the time for which a job can be read after its submission, in
	 * seconds
	 * @param stopTimeoutS the time in which the process must end after a stop signal, in
	 * seconds
	 */
	public SeededControlSettings(String name, String failureDomain, String dataFolder, String listenAddress,
			String operatorAddress, String metricsAddress, List<String> seedAddresses, boolean firstStart,
			int toleratedLosses, String clusterSecret, String platformAddress, double usageWindowS, long usageGraceMs,
			double jobRetentionS, double stopTimeoutS) {
		this(name, failureDomain, dataFolder, listenAddress, operatorAddress, metricsAddress, seedAddresses, firstStart,
				toleratedLosses, clusterSecret, platformAddress, usageWindowS, usageGraceMs, jobRetentionS,
				stopTimeoutS, List.of(), 0, 1, 0, false, DEFAULT_DUTY_LEASE_MS);
	}

	/**
	 * Returns the number of voters, of which a majority survives the tolerated losses.
	 */
	int voterCount() {
		return Math.max(MIN_VOTERS, 2 * this.toleratedLosses + 1);
	}

	/** Returns the addresses at which the seeds listen for other processes. */
	List<String> clusterAddresses() {
		return SettingsValidation.withPort(this.seedAddresses,
				Integer.parseInt(this.listenAddress.substring(this.listenAddress.lastIndexOf(':') + 1)));
	}

	/**
	 * Returns the length of a usage window.
	 * @return the length in milliseconds
	 */
	public long usageWindowMs() {
		return Math.round(1_000 * this.usageWindowS);
	}

	/**
	 * Returns the time for which a job can be read after its submission.
	 * @return the time in milliseconds
	 */
	public long jobRetentionMs() {
		return Math.round(1_000 * this.jobRetentionS);
	}

	@Override
	public String toString() {
		return "SeededControlSettings[" + this.name + "]";
	}

}
