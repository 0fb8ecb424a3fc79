package org.zinniatack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;

import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.membership.Formation;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.ReconnectingLink;
import org.zinniatack.process.StartWait;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.Message;

/**
 * Initializes an empty data folder: queries the other control processes until this one
 * can form a system with them or join theirs.
 */
final class FormationDriver {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long PROBE_TIMEOUT_MS = 1_000;

	private static final long PROBE_INTERVAL_MS = 100;

	private static final long REPORT_INTERVAL_MS = 10_000;

	private final ReplicaStore store;

	private final Collection<ReconnectingLink> otherLinks;

	private final boolean founder;

	private final Ticker ticker;

	private long reportedAtMs;

	FormationDriver(ReplicaStore store, Collection<ReconnectingLink> otherLinks, boolean founder, Ticker ticker) {
		this.store = store;
		this.otherLinks = otherLinks;
		this.founder = founder;
		this.ticker = ticker;
		this.reportedAtMs = nowMs();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	/** Blocks until the data folder is initialized. */
	void awaitInitialization() throws ServiceException, InterruptedException {
		while (!this.store.isInitialized()) {
			List<Formation.PeerState> peerStates = probe();
			Formation decision = Formation.decide(this.store.replicaId(), this.otherLinks.size(), peerStates,
					this.founder);
			switch (decision.action()) {
				case FORM -> {
					LOGGER.atInfo().log("event=system_formed members=%s", decision.membership().voters());
					initialize(PersistentState.bootstrap(decision.membership()));
				}
				case JOIN -> {
					LOGGER.atInfo().log("event=joining_as_learner replica=%s", this.store.replicaId());
					initialize(PersistentState.empty());
				}
				case WAIT -> {
					reportWaiting(peerStates.size());
					TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MS);
				}
			}
		}
	}

	/** Waits for room on the disk; the others go on without this process. */
	private void initialize(PersistentState state) throws ServiceException {
		StartWait.untilPassed().run(() -> {
			if (!this.store.isInitialized()) {
				this.store.initialize(state);
			}
			return true;
		});
	}

	/**
	 * Logs what this process waits for. It does not end: a process that holds the state
	 * may come back.
	 */
	private void reportWaiting(int answerCount) {
		if (nowMs() - this.reportedAtMs < REPORT_INTERVAL_MS) {
			return;
		}
		this.reportedAtMs = nowMs();
		if (answerCount < this.otherLinks.size()) {
			LOGGER.atWarning().log("event=waiting_for_members answered=%d of=%d", answerCount, this.otherLinks.size());
			return;
		}
		LOGGER.atSevere()
			.log("event=system_not_formed code=%d members=%d detail=\"this data folder and those of all other members "
					+ "are empty, and no member was told that it may form the system: if it has never run, set "
					+ "firstStart to true on the seeds and start them again, otherwise bring back a data folder\"",
					ResultCode.SYSTEM_NOT_FORMED.number(), this.otherLinks.size() + 1);
	}

	private List<Formation.PeerState> probe() {
		List<CompletableFuture<Message>> calls = new ArrayList<>();
		for (ReconnectingLink link : this.otherLinks) {
			link.peer()
				.ifPresent((peer) -> calls
					.add(peer.call(new Message.FormationProbe(this.store.replicaId()), PROBE_TIMEOUT_MS)));
		}
		List<Formation.PeerState> peerStates = new ArrayList<>();
		for (CompletableFuture<Message> call : calls) {
			Message response = call.exceptionally((failure) -> new Message.Heartbeat()).join();
			if (response instanceof Message.FormationState state) {
				peerStates.add(new Formation.PeerState(state.replicaId(), state.formed()));
			}
		}
		return peerStates;
	}

}
