package org.zinniatack.agent;

import java.util.List;

import org.zinniatack.process.SettingsValidation;

/**
 * The settings of an agent process.
 *
 * @param targetId the id of the target
 * @param pool the pool that the target serves
 * @param failureDomain the failure domain of the target's VM
 * @param targetUrl the base URL of the target
 * @param protocol the kind of target: engine or service
 * @param slotCount the largest number of requests that the target runs at the same time
 * @param httpAddress the address of the operators' HTTP endpoints
 * @param entryAddresses the addresses of the entries to connect to first, which name the
 * others
 * @param entryCount the number of entries that the agent connects to
 * @param clusterSecret the secret that all processes share
 * @param operatorKeyDigests the SHA-256 digests of the operators' keys
 * @param loadIntervalMs the interval between two load reports, in milliseconds
 * @param drainTimeoutMs the longest wait at a stop for running requests and held usage,
 * in milliseconds
 */
public record AgentSettings(String targetId, String pool, String failureDomain, String targetUrl, String protocol,
		int slotCount, String httpAddress, List<String> entryAddresses, int entryCount, String clusterSecret,
		List<String> operatorKeyDigests, long loadIntervalMs, long drainTimeoutMs) {

	private static final long HOUR_MS = 3_600_000;

	/**
	 * Validates the settings.
	 */
	public AgentSettings(String targetId, String pool, String failureDomain, String targetUrl, String protocol,
			int slotCount, String httpAddress, List<String> entryAddresses, int entryCount, String clusterSecret,
			List<String> operatorKeyDigests, long loadIntervalMs, long drainTimeoutMs) {
		this.targetId = SettingsValidation.name("targetId", targetId);
		this.pool = SettingsValidation.name("pool", pool);
		this.failureDomain = SettingsValidation.name("failureDomain", failureDomain);
		this.targetUrl = SettingsValidation.present("targetUrl", targetUrl);
		this.protocol = SettingsValidation.present("protocol", protocol);
		this.slotCount = (int) SettingsValidation.range("slotCount", slotCount, 1, 10_000);
		this.httpAddress = SettingsValidation.address("httpAddress", httpAddress);
		this.entryAddresses = List.copyOf(SettingsValidation.present("entryAddresses", entryAddresses));
		this.entryAddresses.forEach((address) -> SettingsValidation.address("entryAddresses", address));
		this.entryCount = (int) SettingsValidation.range("entryCount", entryCount, 1, 1_000);
		this.clusterSecret = SettingsValidation.secret("clusterSecret", clusterSecret);
		this.operatorKeyDigests = SettingsValidation.digests("operatorKeyDigests", operatorKeyDigests);
		this.loadIntervalMs = SettingsValidation.range("loadIntervalMs", loadIntervalMs, 50, 60_000);
		this.drainTimeoutMs = SettingsValidation.range("drainTimeoutMs", drainTimeoutMs, 0, HOUR_MS);
		requireConsistent();
	}

	private void requireConsistent() {
		if (!this.protocol.equals("engine") && !this.protocol.equals("service")) {
			throw new IllegalArgumentException("protocol must be engine or service");
		}
		if (this.entryAddresses.isEmpty()) {
			throw new IllegalArgumentException("entryAddresses must not be empty");
		}
	}

	/**
	 * Returns whether the target is a model engine.
	 * @return true for an engine, false for a plain service
	 */
	public boolean isEngine() {
		return this.protocol.equals("engine");
	}

	@Override
	public String toString() {
		return "AgentSettings[" + this.targetId + "]";
	}

}
