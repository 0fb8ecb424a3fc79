package org.zinniatack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.membership.Formation;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.ReconnectingLink;
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

	private final ReplicaStore store;

	private final Collection<ReconnectingLink> otherLinks;

	private final boolean founder;

	FormationDriver(ReplicaStore store, Collection<ReconnectingLink> otherLinks, boolean founder) {
		this.store = store;
		this.otherLinks = otherLinks;
		this.founder = founder;
	}

	/** Blocks until the data folder is initialized. */
	void awaitInitialization() throws ServiceException, InterruptedException {
		while (!this.store.isInitialized()) {
			Formation decision = Formation.decide(this.store.replicaId(), this.otherLinks.size(), probe(),
					this.founder);
			switch (decision.action()) {
				case FORM -> {
					LOGGER.atInfo().log("event=system_formed members=%s", decision.membership().voters());
					this.store.initialize(PersistentState.bootstrap(decision.membership()));
				}
				case JOIN -> {
					LOGGER.atInfo().log("event=joining_as_learner replica=%s", this.store.replicaId());
					this.store.initialize(PersistentState.empty());
				}
				case WAIT -> TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MS);
			}
		}
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
