package org.zinniatack.gateway.service;

import java.util.List;

import org.zinniatack.process.SettingDefault;
import org.zinniatack.process.SettingsValidation;

/**
 * The settings of a gateway, an entry process that sends requests directly to targets.
 *
 * @param name the name of the process
 * @param failureDomain the failure domain in which the process runs
 * @param callerAddress the listen address for callers
 * @param readinessAddress the listen address of the readiness check of the load balancer
 * @param metricsAddress the listen address of metrics and the state dump
 * @param seedAddresses the addresses of some control processes, whose ports are ignored
 * @param clusterPort the port on which control processes listen for other processes
 * @param clusterSecret the secret that all processes share
 * @param usageWindowS the length of a usage window, in seconds
 * @param usageIntervalMs the interval of usage reports to control, in milliseconds
 * @param stopTimeoutS the time limit for the process to end after a stop signal, in
 * seconds
 * @param closeWithoutControl true to accept no requests while no control process can be
 * reached
 * @param coldOverage the factor by which requests to a cold target may exceed the rate
 * that it tolerates
 * @param coldSlack the number of requests in a second by which they may exceed it as well
 * @param paceTargets true to limit the outstanding requests of a target that has just
 * started or recovered
 */
public record GatewaySettings(String name, String failureDomain, String callerAddress, String readinessAddress,
		String metricsAddress, List<String> seedAddresses, int clusterPort, String clusterSecret, double usageWindowS,
		long usageIntervalMs, double stopTimeoutS, boolean closeWithoutControl, @SettingDefault("1") double coldOverage,
		@SettingDefault("0") double coldSlack, @SettingDefault("false") boolean paceTargets) {

	private static final double MAXIMUM_COLD_OVERAGE = 100;

	private static final double MAXIMUM_COLD_SLACK = 10_000;

	private static final long MAXIMUM_USAGE_INTERVAL_MS = 60_000;

	/**
	 * Validates the settings.
	 */
	public GatewaySettings(String name, String failureDomain, String callerAddress, String readinessAddress,
			String metricsAddress, List<String> seedAddresses, int clusterPort, String clusterSecret,
			double usageWindowS, long usageIntervalMs, double stopTimeoutS, boolean closeWithoutControl,
			double coldOverage, double coldSlack, boolean paceTargets) {
		this.name = SettingsValidation.name("name", name);
		this.failureDomain = SettingsValidation.present("failureDomain", failureDomain);
		this.callerAddress = SettingsValidation.address("callerAddress", callerAddress);
		this.readinessAddress = SettingsValidation.address("readinessAddress", readinessAddress);
		this.metricsAddress = SettingsValidation.address("metricsAddress", metricsAddress);
		this.seedAddresses = List.copyOf(SettingsValidation.present("seedAddresses", seedAddresses));
		this.seedAddresses.forEach((seed) -> SettingsValidation.address("seedAddresses", seed));
		this.clusterSecret = SettingsValidation.secret("clusterSecret", clusterSecret);
		this.clusterPort = SettingsValidation.port("clusterPort", clusterPort);
		this.usageWindowS = SettingsValidation.seconds("usageWindowS", usageWindowS);
		this.usageIntervalMs = SettingsValidation.range("usageIntervalMs", usageIntervalMs, 100,
				MAXIMUM_USAGE_INTERVAL_MS);
		this.stopTimeoutS = SettingsValidation.seconds("stopTimeoutS", stopTimeoutS);
		this.closeWithoutControl = closeWithoutControl;
		this.coldOverage = SettingsValidation.figure("coldOverage", coldOverage, 0, MAXIMUM_COLD_OVERAGE);
		this.coldSlack = SettingsValidation.figure("coldSlack", coldSlack, 0, MAXIMUM_COLD_SLACK);
		this.paceTargets = paceTargets;
	}

	/**
	 * Creates settings without bounds for cold targets and without pacing.
	 * @param name the name of the process
	 * @param failureDomain the failure domain in which the process runs
	 * @param callerAddress the listen address for callers
	 * @param readinessAddress the listen address of the readiness check of the load
	 * balancer
	 * @param metricsAddress the listen address of metrics and the state dump
	 * @param seedAddresses the addresses of some control processes, whose ports are
	 * ignored
	 * @param clusterPort the port on which control processes listen for other processes
	 * @param clusterSecret the secret that all processes share
	 * @param usageWindowS the length of a usage window, in seconds
	 * @param usageIntervalMs the interval of usage reports to control, in milliseconds
	 * @param stopTimeoutS the time limit for the process to end after a stop signal, in
	 * seconds
	 * @param closeWithoutControl true to accept no requests while no control process can
	 * be reached
	 */
	public GatewaySettings(String name, String failureDomain, String callerAddress, String readinessAddress,
			String metricsAddress, List<String> seedAddresses, int clusterPort, String clusterSecret,
			double usageWindowS, long usageIntervalMs, double stopTimeoutS, boolean closeWithoutControl) {
		this(name, failureDomain, callerAddress, readinessAddress, metricsAddress, seedAddresses, clusterPort,
				clusterSecret, usageWindowS, usageIntervalMs, stopTimeoutS, closeWithoutControl, 1, 0, false);
	}

	/** Returns the seed addresses with the cluster port. */
	List<String> clusterAddresses() {
		return SettingsValidation.withPort(this.seedAddresses, this.clusterPort);
	}

	/**
	 * Returns the time limit for the process to end after a stop signal.
	 * @return the time in milliseconds
	 */
	public long stopTimeoutMs() {
		return Math.round(1_000 * this.stopTimeoutS);
	}

	@Override
	public String toString() {
		return "GatewaySettings[" + this.name + "]";
	}

}
