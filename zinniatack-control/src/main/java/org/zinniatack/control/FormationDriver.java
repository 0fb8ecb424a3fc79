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
import org.zinniatack.process.Link;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.Message;

/**
 * Asks the other control processes until an empty data folder can be started.
 */
final class FormationDriver {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long PROBE_TIMEOUT_MS = 1_000;

	private static final long PROBE_INTERVAL_MS = 100;

	private final ReplicaStore store;

	private final Collection<Link> others;

	private final boolean founder;

	FormationDriver(ReplicaStore store, Collection<Link> others, boolean founder) {
		this.store = store;
		this.others = others;
		this.founder = founder;
	}

	/** Returns once the data folder is initialized, or when the thread is interrupted. */
	void awaitFormation() throws ServiceException, InterruptedException {
		while (!this.store.isInitialized()) {
			Formation decision = Formation.decide(this.store.replicaId(), this.others.size(), probe(), this.founder);
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
		for (Link other : this.others) {
			other.peer()
				.ifPresent((peer) -> calls
					.add(peer.call(new Message.FormationProbe(this.store.replicaId()), PROBE_TIMEOUT_MS)));
		}
		List<Formation.PeerState> answers = new ArrayList<>();
		for (CompletableFuture<Message> call : calls) {
			Message answer = call.exceptionally((failure) -> new Message.Heartbeat()).join();
			if (answer instanceof Message.FormationState state) {
				answers.add(new Formation.PeerState(state.replicaId(), state.formed()));
			}
		}
		return answers;
	}

}
