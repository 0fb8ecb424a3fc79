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
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Reports this replica's entries and targets to the leader and receives the roster of all
 * entries and the directives for targets.
 */
final class PresenceExchange implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 500;

	private static final long CALL_TIMEOUT_MS = 3_000;

	private static final long LEADER_SETTLING_MS = 2_000;

	private final String replicaId;

	private final ReplicaDriver driver;

	private final Presence presence;

	private final LeaderDuties duties;

	private final Supplier<Optional<Peer>> leaderLink;

	private final ProcessEnd processEnd;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "presence-timer"));

	private volatile Message.Roster roster = new Message.Roster(0, Map.of(), Map.of(), TableVersion.NONE,
			TableVersion.NONE);

	private String knownLeaderId = "";

	private long leaderSinceMs;

	PresenceExchange(String replicaId, ReplicaDriver driver, Presence presence, LeaderDuties duties,
			Supplier<Optional<Peer>> leaderLink, ProcessEnd processEnd) {
		this.replicaId = replicaId;
		this.driver = driver;
		this.presence = presence;
		this.duties = duties;
		this.leaderLink = leaderLink;
		this.processEnd = processEnd;
	}

	@Override
	public void start() {
		this.timer.scheduleWithFixedDelay(this.processEnd.guard("presence", this::exchange), INTERVAL_MS, INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		this.timer.shutdownNow();
	}

	/** Returns the newest roster. */
	Message.Roster roster() {
		return this.roster;
	}

	/** Applies another replica's report and returns the roster for it. */
	Message.Roster onPresenceReport(Message.PresenceReport report) throws ServiceException {
		if (!this.driver.status().isLeader()) {
			throw ServiceException.of(ResultCode.NOT_LEADER, "only the leader accepts presence reports");
		}
		this.presence.onReplicaReport(report, this.driver.nowMs());
		return this.presence.rosterFor(report, this.roster);
	}

	private void exchange() {
		try {
			ReplicaStatus status = this.driver.status();
			long nowMs = this.driver.nowMs();
			if (!status.leaderId().equals(this.knownLeaderId)) {
				this.knownLeaderId = status.leaderId();
				this.leaderSinceMs = nowMs;
				this.roster = new Message.Roster(this.roster.rosterHash(), this.roster.entries(),
						this.roster.directives(), TableVersion.NONE, TableVersion.NONE);
			}
			if (status.isLeader()) {
				updateRoster(nowMs);
			}
			else {
				this.leaderLink.get().ifPresent((peer) -> reportTo(peer, nowMs));
			}
		}
		catch (RuntimeException ex) {
			LOGGER.atWarning().withCause(ex).log("event=presence_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	/**
	 * Updates the leader's roster. It keeps the previous leader's entries until the other
	 * replicas have reported.
	 */
	private void updateRoster(long nowMs) {
		boolean isSettled = nowMs - this.leaderSinceMs >= LEADER_SETTLING_MS || this.roster.entries().isEmpty();
		Map<String, String> entries = isSettled ? entryAddresses(nowMs) : this.roster.entries();
		this.roster = new Message.Roster(entries.hashCode(), entries, this.duties.directives(), TableVersion.NONE,
				TableVersion.NONE);
	}

	private Map<String, String> entryAddresses(long nowMs) {
		return this.presence.entries(nowMs)
			.values()
			.stream()
			.collect(Collectors.toMap(Message.EntryState::nodeId, Message.EntryState::address));
	}

	private void reportTo(Peer leader, long nowMs) {
		String askedLeaderId = this.knownLeaderId;
		leader.call(this.presence.createReport(this.replicaId, this.roster, nowMs), CALL_TIMEOUT_MS)
			.thenAccept((response) -> onRoster((Message.Roster) response, askedLeaderId));
	}

	private synchronized void onRoster(Message.Roster received, String leaderId) {
		if (!this.driver.status().leaderId().equals(leaderId)) {
			return;
		}
		boolean hasEntries = received.rosterHash() == this.roster.rosterHash();
		this.roster = new Message.Roster(received.rosterHash(), hasEntries ? this.roster.entries() : received.entries(),
				received.directives(), received.knownEntries(), received.knownTargets());
	}

}
