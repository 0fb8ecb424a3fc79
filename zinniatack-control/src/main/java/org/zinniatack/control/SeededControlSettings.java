package org.zinniatack.control;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

import org.zinniatack.process.Checks;

/**
 * The settings of a control process that finds the others by seeds. Among the members it
 * is named by its address.
 *
 * @param name the name of this process, under which it gives orders
 * @param failureDomain the failure domain in which it stands
 * @param dataFolder the folder for the replicated state
 * @param listenAddress the address for other processes of the system
 * @param operatorAddress the address for operators, trainers and targets
 * @param metricsAddress the address of metrics and the state dump
 * @param seedAddresses the addresses of some control processes, of which only the host
 * counts
 * @param firstStart true if the system has never run, so that the seeds may found it
 * @param toleratedLosses the number of control processes that may be lost at once
 * @param clusterSecret the secret that all processes share
 * @param platformAddress the address of the platform's interfaces, empty for none
 * @param usageWindowS the length of a usage window, in seconds
 * @param usageGraceMs the time after which a window is closed, in milliseconds
 * @param jobRetentionS the time for which a job can be read after its submission, in
 * seconds
 * @param stopTimeoutS the time after a stop signal in which it must end, in seconds
 */
public record SeededControlSettings(String name, String failureDomain, String dataFolder, String listenAddress,
		String operatorAddress, String metricsAddress, List<String> seedAddresses, boolean firstStart,
		int toleratedLosses, String clusterSecret, String platformAddress, double usageWindowS, long usageGraceMs,
		double jobRetentionS, double stopTimeoutS) {

	private static final long LONGEST_GRACE_MS = 60_000;

	private static final int MOST_TOLERATED_LOSSES = 3;

	private static final int FEWEST_VOTERS = 3;

	/**
	 * Checks the fields.
	 */
	@JsonCreator
	public SeededControlSettings(@JsonProperty("name") String name, @JsonProperty("failureDomain") String failureDomain,
			@JsonProperty("dataFolder") String dataFolder, @JsonProperty("listenAddress") String listenAddress,
			@JsonProperty("operatorAddress") String operatorAddress,
			@JsonProperty("metricsAddress") String metricsAddress,
			@JsonProperty("seedAddresses") List<String> seedAddresses, @JsonProperty("firstStart") boolean firstStart,
			@JsonProperty("toleratedLosses") int toleratedLosses, @JsonProperty("clusterSecret") String clusterSecret,
			@JsonProperty("platformAddress") String platformAddress, @JsonProperty("usageWindowS") double usageWindowS,
			@JsonProperty("usageGraceMs") long usageGraceMs, @JsonProperty("jobRetentionS") double jobRetentionS,
			@JsonProperty("stopTimeoutS") double stopTimeoutS) {
		this.name = Checks.name("name", name);
		this.failureDomain = Checks.present("failureDomain", failureDomain);
		this.dataFolder = Checks.present("dataFolder", dataFolder);
		this.listenAddress = Checks.address("listenAddress", listenAddress);
		this.operatorAddress = Checks.address("operatorAddress", operatorAddress);
		this.metricsAddress = Checks.address("metricsAddress", metricsAddress);
		this.seedAddresses = List.copyOf(Checks.present("seedAddresses", seedAddresses));
		this.seedAddresses.forEach((seed) -> Checks.address("seedAddresses", seed));
		this.firstStart = firstStart;
		this.toleratedLosses = (int) Checks.range("toleratedLosses", toleratedLosses, 0, MOST_TOLERATED_LOSSES);
		this.clusterSecret = Checks.secret("clusterSecret", clusterSecret);
		this.platformAddress = Checks.present("platformAddress", platformAddress);
		this.usageWindowS = Checks.seconds("usageWindowS", usageWindowS);
		this.usageGraceMs = Checks.range("usageGraceMs", usageGraceMs, 0, LONGEST_GRACE_MS);
		this.jobRetentionS = Checks.seconds("jobRetentionS", jobRetentionS);
		this.stopTimeoutS = Checks.seconds("stopTimeoutS", stopTimeoutS);
	}

	/** Returns how many replicas vote: a majority survives the tolerated losses. */
	int voterCount() {
		return Math.max(FEWEST_VOTERS, 2 * this.toleratedLosses + 1);
	}

	/** Returns where the seeds listen for other processes. */
	List<String> clusterAddresses() {
		return Checks.withPort(this.seedAddresses,
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
