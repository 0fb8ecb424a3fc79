package org.zinniatack.control;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.Service;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Passes what is present on to the leader, and takes from it the roster of entries and
 * the directives for targets.
 */
final class PresenceExchange implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 500;

	private static final long CALL_TIMEOUT_MS = 3_000;

	private static final long SETTLING_MS = 2_000;

	private final String replicaId;

	private final ReplicaDriver driver;

	private final Presence presence;

	private final LeaderDuties duties;

	private final Supplier<Optional<Peer>> leaderLink;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "presence-timer"));

	private volatile Message.Roster roster = new Message.Roster(0, Map.of(), Map.of(), TableVersion.NONE,
			TableVersion.NONE);

	private String knownLeader = "";

	private long leaderSinceMs;

	PresenceExchange(String replicaId, ReplicaDriver driver, Presence presence, LeaderDuties duties,
			Supplier<Optional<Peer>> leaderLink) {
		this.replicaId = replicaId;
		this.driver = driver;
		this.presence = presence;
		this.duties = duties;
		this.leaderLink = leaderLink;
	}

	@Override
	public void start() {
		this.timer.scheduleWithFixedDelay(this::round, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		this.timer.shutdownNow();
	}

	/** Returns the newest roster that is known here. */
	Message.Roster roster() {
		return this.roster;
	}

	/** Answers another replica's report. */
	Message.Roster answer(Message.PresenceReport report) throws ServiceException {
		if (!this.driver.status().isLeader()) {
			throw ServiceException.of(ResultCode.NOT_LEADER, "presence belongs to the leader");
		}
		this.presence.receive(report, this.driver.nowMs());
		return this.presence.rosterFor(report, this.roster);
	}

	private void round() {
		try {
			ReplicaStatus status = this.driver.status();
			long nowMs = this.driver.nowMs();
			if (!status.leaderId().equals(this.knownLeader)) {
				this.knownLeader = status.leaderId();
				this.leaderSinceMs = nowMs;
				this.roster = new Message.Roster(this.roster.rosterHash(), this.roster.entries(),
						this.roster.directives(), TableVersion.NONE, TableVersion.NONE);
			}
			if (status.isLeader()) {
				lead(nowMs);
			}
			else {
				this.leaderLink.get().ifPresent((peer) -> passOn(peer, nowMs));
			}
		}
		catch (RuntimeException ex) {
			LOGGER.atWarning().withCause(ex).log("event=presence_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	/** Keeps the roster of the leader before until the other replicas have reported. */
	private void lead(long nowMs) {
		boolean settled = nowMs - this.leaderSinceMs >= SETTLING_MS || this.roster.entries().isEmpty();
		Map<String, String> entries = settled ? addresses(nowMs) : this.roster.entries();
		this.roster = new Message.Roster(entries.hashCode(), entries, this.duties.directives(), TableVersion.NONE,
				TableVersion.NONE);
	}

	private Map<String, String> addresses(long nowMs) {
		return this.presence.entries(nowMs)
			.values()
			.stream()
			.collect(Collectors.toMap(Message.EntryState::nodeId, Message.EntryState::address));
	}

	private void passOn(Peer leader, long nowMs) {
		String asked = this.knownLeader;
		leader.call(this.presence.passOn(this.replicaId, this.roster, nowMs), CALL_TIMEOUT_MS)
			.thenAccept((answer) -> accept((Message.Roster) answer, asked));
	}

	private synchronized void accept(Message.Roster told, String leaderId) {
		if (!this.driver.status().leaderId().equals(leaderId)) {
			return;
		}
		boolean known = told.rosterHash() == this.roster.rosterHash();
		this.roster = new Message.Roster(told.rosterHash(), known ? this.roster.entries() : told.entries(),
				told.directives(), told.knownEntries(), told.knownTargets());
	}

}
