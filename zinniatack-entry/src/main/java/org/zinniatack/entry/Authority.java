package org.zinniatack.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

/**
 * What control has told this entry, and until when the entry may act on it. Records only
 * move to higher revisions.
 */
final class Authority {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long RETRY_MS = 1_000;

	private final long leaseMs;

	private volatile View view = new View(Configuration.empty(), 0, Map.of(), Map.of(), 0, Set.of(), Set.of(),
			Long.MIN_VALUE / 2);

	Authority(long leaseMs) {
		this.leaseMs = leaseMs;
	}

	/** Takes over what is newer than what is known. */
	synchronized void accept(Message.Feed feed, long nowMs) {
		View before = this.view;
		Configuration configuration = before.configuration();
		boolean newer = feed.revision() > configuration.revision();
		if (newer && feed.afterRevision() <= configuration.revision()) {
			configuration = merge(feed, configuration);
		}
		boolean newerCrashes = feed.crashVersion() > before.crashVersion();
		boolean newEntries = feed.rosterHash() != before.entries().hashCode() && !feed.entries().isEmpty();
		this.view = new View(configuration, Math.max(before.epoch(), feed.epoch()), newest(before, feed.weights()),
				newEntries ? Map.copyOf(feed.entries()) : before.entries(),
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

	private static Map<String, Long> newest(View before, Map<String, Long> weights) {
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
		return RETRY_MS;
	}

	/**
	 * What is known at one moment.
	 *
	 * @param configuration the records in force
	 * @param epoch the newest epoch known
	 * @param weights the newest weight version by model
	 * @param entries the addresses of all entries by id
	 * @param crashVersion the version of the suspects
	 * @param suspects the digests of suspects
	 * @param quarantined the digests of quarantined requests
	 * @param leaseEndMs until when the entry may act on this
	 */
	record View(Configuration configuration, long epoch, Map<String, Long> weights, Map<String, String> entries,
			long crashVersion, Set<String> suspects, Set<String> quarantined, long leaseEndMs) {
	}

}
