package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

/**
 * The failure domains in the settings of a control process.
 *
 * @param own the failure domain of the process, empty if it is unknown
 * @param known the failure domains that operators may evacuate; empty for those of the
 * known targets and control processes
 * @param toleratedLosses the number of failure domains that may be lost at the same time
 */
record DomainSettings(String own, List<String> known, int toleratedLosses) {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Returns settings that name no failure domain. */
	static DomainSettings none() {
		return new DomainSettings("", List.of(), 0);
	}

	/**
	 * Returns limits under which the voters outside of any failure domain are a quorum.
	 * In too few failure domains no placement of the voters bears the loss of one, so
	 * only the total is bounded there.
	 * @param maximumVoters the largest number of voters
	 * @param domainsByName returns the known failure domains of members by name
	 */
	VoterLimits voterLimits(int maximumVoters, Supplier<Map<String, String>> domainsByName) {
		int quorum = maximumVoters / 2 + 1;
		int spareVoters = maximumVoters - quorum;
		if (this.toleratedLosses == 0) {
			return VoterLimits.of(maximumVoters);
		}
		if (!this.known.isEmpty() && this.known.size() * spareVoters < maximumVoters) {
			LOGGER.atWarning()
				.log("event=voters_not_spread domains=%d voters=%d detail=\"too few failure domains to bear the loss "
						+ "of one\"", this.known.size(), maximumVoters);
			return VoterLimits.of(maximumVoters);
		}
		return new VoterLimits(maximumVoters, spareVoters, domainsByName);
	}

}
