package org.zinniatack.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

/**
 * Holds the configuration, weight versions and suspects received from the control
 * processes, and the end of the lease under which the entry may act on them. The
 * configuration revision never decreases.
 */
final class Authority {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long RETRY_AFTER_MS = 1_000;

	private final long leaseMs;

	private volatile View view = new View(Configuration.empty(), 0, Map.of(), Map.of(), 0, Set.of(), Set.of(),
			Long.MIN_VALUE / 2);

	Authority(long leaseMs) {
		this.leaseMs = leaseMs;
	}

	/** Merges the newer parts of a feed into the current view. */
	synchronized void accept(Message.Feed feed, long nowMs) {
		View before = this.view;
		Configuration configuration = before.configuration();
		boolean newerRecords = feed.revision() > configuration.revision();
		if (newerRecords && feed.afterRevision() <= configuration.revision()) {
			configuration = merge(feed, configuration);
		}
		boolean newerCrashes = feed.crashVersion() > before.crashVersion();
		boolean newEntries = feed.rosterHash() != before.entries().hashCode() && !feed.entries().isEmpty();
		this.view = new View(configuration, Math.max(before.epoch(), feed.epoch()),
				newestWeights(before, feed.weights()), newEntries ? Map.copyOf(feed.entries()) : before.entries(),
				Math.max(before.crashVersion(), feed.crashVersion()),
				newerCrashes ? Set.copyOf(feed.suspects()) : before.suspects(),
				newerCrashes ? Set.copyOf(feed.quarantined()) : before.quarantined(),
				Math.max(before.leaseEndMs(), nowMs - feed.authorityAgeMs() + this.leaseMs));
	}

	private static Configuration merge(Message.Feed feed, Configuration before) {
		try {
			return before.withChanges(feed.revision(), feed.records());
		}
		catch (ServiceException ex) {
			LOGGER.atSevere()
				.log("event=configuration_unreadable code=%d detail=\"%s\"", ex.code().number(), ex.getMessage());
			return before;
		}
	}

	private static Map<String, Long> newestWeights(View before, Map<String, Long> weights) {
		Map<String, Long> merged = new HashMap<>(before.weights());
		weights.forEach((model, version) -> merged.merge(model, version, Math::max));
		return Map.copyOf(merged);
	}

	View view() {
		return this.view;
	}

	boolean isValid(long nowMs) {
		return nowMs < this.view.leaseEndMs();
	}

	long retryAfterMs() {
		return RETRY_AFTER_MS;
	}

	/**
	 * An immutable snapshot of the received data.
	 *
	 * @param configuration the records in force
	 * @param epoch the newest epoch known
	 * @param weights the newest weight version by model
	 * @param entries the addresses of all entries by id
	 * @param crashVersion the version of the suspects and the quarantine
	 * @param suspects the digests of requests suspected of crashing targets
	 * @param quarantined the digests of quarantined requests
	 * @param leaseEndMs the end of the lease, by the entry's clock
	 */
	record View(Configuration configuration, long epoch, Map<String, Long> weights, Map<String, String> entries,
			long crashVersion, Set<String> suspects, Set<String> quarantined, long leaseEndMs) {
	}

}
