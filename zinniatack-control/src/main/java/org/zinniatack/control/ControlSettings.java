package org.zinniatack.control;

import java.util.List;
import java.util.Map;

import org.zinniatack.process.SettingDefault;
import org.zinniatack.process.SettingsValidation;

/**
 * The settings of a control process that knows the names and addresses of all others.
 *
 * @param name the name of this process among the members
 * @param dataFolder the folder for the replicated state
 * @param listenAddress the address for other processes of the system
 * @param httpAddress the address for operators
 * @param members the addresses of all control processes by name, including this one
 * @param failureDomains the failure domains over which ordered targets are spread
 * @param clusterSecret the secret that all processes share
 * @param operatorKeyDigests the SHA-256 digests of the operators' keys
 * @param platformUrl the URL of the platform's interfaces, empty for none
 * @param usageWindowMs the length of a usage window, in milliseconds
 * @param usageGraceMs the time between the end of a window and its closing, in
 * milliseconds
 * @param shrinkDelayMs the time for which load must be lower before fewer targets are
 * ordered, in milliseconds
 * @param dutyLeaseMs the time within which two processes must not take turns in sending
 * orders and reports, in milliseconds; 0 if they may
 */
public record ControlSettings(String name, String dataFolder, String listenAddress, String httpAddress,
		Map<String, String> members, List<String> failureDomains, String clusterSecret, List<String> operatorKeyDigests,
		String platformUrl, long usageWindowMs, long usageGraceMs, long shrinkDelayMs,
		@SettingDefault("3000") long dutyLeaseMs) {

	private static final long MAX_DURATION_MS = 24 * 3_600_000L;

	/**
	 * Checks the fields.
	 */
	public ControlSettings(String name, String dataFolder, String listenAddress, String httpAddress,
			Map<String, String> members, List<String> failureDomains, String clusterSecret,
			List<String> operatorKeyDigests, String platformUrl, long usageWindowMs, long usageGraceMs,
			long shrinkDelayMs, long dutyLeaseMs) {
		this.name = SettingsValidation.name("name", name);
		this.dataFolder = SettingsValidation.present("dataFolder", dataFolder);
		this.listenAddress = SettingsValidation.address("listenAddress", listenAddress);
		this.httpAddress = SettingsValidation.address("httpAddress", httpAddress);
		this.members = Map.copyOf(SettingsValidation.present("members", members));
		this.members.forEach((member, address) -> SettingsValidation
			.address("members." + SettingsValidation.name("members", member), address));
		this.failureDomains = List.copyOf(SettingsValidation.present("failureDomains", failureDomains));
		this.clusterSecret = SettingsValidation.secret("clusterSecret", clusterSecret);
		this.operatorKeyDigests = SettingsValidation.digests("operatorKeyDigests", operatorKeyDigests);
		this.platformUrl = SettingsValidation.present("platformUrl", platformUrl);
		this.usageWindowMs = SettingsValidation.range("usageWindowMs", usageWindowMs, 1_000, MAX_DURATION_MS);
		this.usageGraceMs = SettingsValidation.range("usageGraceMs", usageGraceMs, 0, MAX_DURATION_MS);
		this.shrinkDelayMs = SettingsValidation.range("shrinkDelayMs", shrinkDelayMs, 0, MAX_DURATION_MS);
		this.dutyLeaseMs = SettingsValidation.range("dutyLeaseMs", dutyLeaseMs, 0,
				SeededControlSettings.MAX_DUTY_LEASE_MS);
		requireConsistent();
	}

	/**
	 * Creates settings whose optional fields have their defaults.
	 * @param name the name of this process among the members
	 * @param dataFolder the folder for the replicated state
	 * @param listenAddress the address for other processes of the system
	 * @param httpAddress the address for operators
	 * @param members the addresses of all control processes by name, including this one
	 * @param failureDomains the failure domains over which ordered targets are spread
	 * @param clusterSecret the secret that all processes share
	 * @param operatorKeyDigests the SHA-256 digests of the operators' keys
	 * @param platformUrl the URL of the platform's interfaces, empty for none
	 * @param usageWindowMs the length of a usage window, in milliseconds
	 * @param usageGraceMs the time between the end of a window and its closing, in
	 * milliseconds
	 * @param shrinkDelayMs the time for which load must be lower before fewer targets are
	 * ordered, in milliseconds
	 */
	public ControlSettings(String name, String dataFolder, String listenAddress, String httpAddress,
			Map<String, String> members, List<String> failureDomains, String clusterSecret,
			List<String> operatorKeyDigests, String platformUrl, long usageWindowMs, long usageGraceMs,
			long shrinkDelayMs) {
		this(name, dataFolder, listenAddress, httpAddress, members, failureDomains, clusterSecret, operatorKeyDigests,
				platformUrl, usageWindowMs, usageGraceMs, shrinkDelayMs, SeededControlSettings.DEFAULT_DUTY_LEASE_MS);
	}

	private void requireConsistent() {
		if (!this.members.containsKey(this.name)) {
			throw new IllegalArgumentException("members must have an entry for " + this.name);
		}
		if (this.members.size() % 2 == 0 || this.members.size() > 7) {
			throw new IllegalArgumentException(
					"members must have 1, 3, 5 or 7 entries, but has " + this.members.size());
		}
	}

	@Override
	public String toString() {
		return "ControlSettings[" + this.name + "]";
	}

}
