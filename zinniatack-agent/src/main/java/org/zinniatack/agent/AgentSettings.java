package org.zinniatack.agent;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

import org.zinniatack.process.Checks;

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
	@JsonCreator
	public AgentSettings(@JsonProperty("targetId") String targetId, @JsonProperty("pool") String pool,
			@JsonProperty("failureDomain") String failureDomain, @JsonProperty("targetUrl") String targetUrl,
			@JsonProperty("protocol") String protocol, @JsonProperty("slotCount") int slotCount,
			@JsonProperty("httpAddress") String httpAddress,
			@JsonProperty("entryAddresses") List<String> entryAddresses, @JsonProperty("entryCount") int entryCount,
			@JsonProperty("clusterSecret") String clusterSecret,
			@JsonProperty("operatorKeyDigests") List<String> operatorKeyDigests,
			@JsonProperty("loadIntervalMs") long loadIntervalMs, @JsonProperty("drainTimeoutMs") long drainTimeoutMs) {
		this.targetId = Checks.name("targetId", targetId);
		this.pool = Checks.name("pool", pool);
		this.failureDomain = Checks.name("failureDomain", failureDomain);
		this.targetUrl = Checks.present("targetUrl", targetUrl);
		this.protocol = Checks.present("protocol", protocol);
		this.slotCount = (int) Checks.range("slotCount", slotCount, 1, 10_000);
		this.httpAddress = Checks.address("httpAddress", httpAddress);
		this.entryAddresses = List.copyOf(Checks.present("entryAddresses", entryAddresses));
		this.entryAddresses.forEach((address) -> Checks.address("entryAddresses", address));
		this.entryCount = (int) Checks.range("entryCount", entryCount, 1, 1_000);
		this.clusterSecret = Checks.secret("clusterSecret", clusterSecret);
		this.operatorKeyDigests = Checks.digests("operatorKeyDigests", operatorKeyDigests);
		this.loadIntervalMs = Checks.range("loadIntervalMs", loadIntervalMs, 50, 60_000);
		this.drainTimeoutMs = Checks.range("drainTimeoutMs", drainTimeoutMs, 0, HOUR_MS);
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
