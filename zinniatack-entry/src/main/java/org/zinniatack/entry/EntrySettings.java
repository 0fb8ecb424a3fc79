package org.zinniatack.entry;

import java.util.List;

import org.zinniatack.process.SettingsValidation;

/**
 * The settings of an entry process.
 *
 * @param name the name of this process
 * @param failureDomain the failure domain of its VM
 * @param listenAddress the address at which agents connect to this process
 * @param httpAddress the address for callers
 * @param controlAddresses the addresses of the control processes
 * @param clusterSecret the secret that all processes share
 * @param operatorKeyDigests the SHA-256 digests of the operators' keys
 * @param authorityLeaseMs the time without contact with a quorum of the control processes
 * after which no key is accepted, in milliseconds
 * @param requestTimeoutMs the longest time that a request may run, in milliseconds
 * @param maximumBodyBytes the size limit of a request body, in bytes
 * @param balancerDelayMs the time until the load balancer has stopped sending requests to
 * a process that is not ready, in milliseconds
 * @param usageWindowMs the length of a usage window, in milliseconds
 * @param usageIntervalMs the longest time for which usage is counted before it is
 * reported to the control processes, in milliseconds
 */
public record EntrySettings(String name, String failureDomain, String listenAddress, String httpAddress,
		List<String> controlAddresses, String clusterSecret, List<String> operatorKeyDigests, long authorityLeaseMs,
		long requestTimeoutMs, int maximumBodyBytes, long balancerDelayMs, long usageWindowMs, long usageIntervalMs) {

	private static final long LONGEST_LEASE_MS = 60_000;

	private static final long HOUR_MS = 3_600_000;

	private static final int LARGEST_BODY_BYTES = 32 * 1024 * 1024;

	/**
	 * Validates the settings.
	 */
	public EntrySettings(String name, String failureDomain, String listenAddress, String httpAddress,
			List<String> controlAddresses, String clusterSecret, List<String> operatorKeyDigests, long authorityLeaseMs,
			long requestTimeoutMs, int maximumBodyBytes, long balancerDelayMs, long usageWindowMs,
			long usageIntervalMs) {
		this.name = SettingsValidation.name("name", name);
		this.failureDomain = SettingsValidation.name("failureDomain", failureDomain);
		this.listenAddress = SettingsValidation.address("listenAddress", listenAddress);
		this.httpAddress = SettingsValidation.address("httpAddress", httpAddress);
		this.controlAddresses = List.copyOf(SettingsValidation.present("controlAddresses", controlAddresses));
		this.controlAddresses.forEach((address) -> SettingsValidation.address("controlAddresses", address));
		this.clusterSecret = SettingsValidation.secret("clusterSecret", clusterSecret);
		this.operatorKeyDigests = SettingsValidation.digests("operatorKeyDigests", operatorKeyDigests);
		this.authorityLeaseMs = SettingsValidation.range("authorityLeaseMs", authorityLeaseMs, 1_000, LONGEST_LEASE_MS);
		this.requestTimeoutMs = SettingsValidation.range("requestTimeoutMs", requestTimeoutMs, 1_000, HOUR_MS);
		this.maximumBodyBytes = (int) SettingsValidation.range("maximumBodyBytes", maximumBodyBytes, 1024,
				LARGEST_BODY_BYTES);
		this.balancerDelayMs = SettingsValidation.range("balancerDelayMs", balancerDelayMs, 0, LONGEST_LEASE_MS);
		this.usageWindowMs = SettingsValidation.range("usageWindowMs", usageWindowMs, 1_000, 24 * HOUR_MS);
		this.usageIntervalMs = SettingsValidation.range("usageIntervalMs", usageIntervalMs, 100, HOUR_MS);
	}

	@Override
	public String toString() {
		return "EntrySettings[" + this.name + "]";
	}

}
