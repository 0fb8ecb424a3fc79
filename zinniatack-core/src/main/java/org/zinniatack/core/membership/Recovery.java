package org.zinniatack.core.membership;

import java.util.List;
import java.util.Objects;

import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Recovers a system whose majority is lost, on an operator's decision, by making one
 * remaining replica the sole voter. Changes that only the lost replicas held are lost.
 */
public final class Recovery {

	/**
	 * Raises the term, the fencing token, above any that the lost replicas have reached.
	 */
	private static final long TERM_INCREMENT = 1_000;

	private Recovery() {
	}

	/**
	 * Returns the effects to write to the replica's disk.
	 * @param state the state loaded from disk
	 * @param replicaId the id of the replica
	 * @return a hard state and a membership entry with the replica as the only voter
	 * @throws ServiceException with FOLDER_EMPTY if the disk holds no log
	 */
	public static Effects forceSoleVoter(PersistentState state, String replicaId) throws ServiceException {
		Objects.requireNonNull(replicaId, "replicaId");
		long lastIndex = lastIndex(state);
		if (lastIndex == 0) {
			throw ServiceException.of(ResultCode.FOLDER_EMPTY, "the data folder holds no log to recover");
		}
		long term = state.hardState().term() + TERM_INCREMENT;
		LogEntry entry = LogEntry.membership(lastIndex + 1, term, Membership.ofVoters(List.of(replicaId)));
		return new Effects(new HardState(term, ""), null, 0, List.of(entry), List.of(), List.of());
	}

	/**
	 * Returns the index of the newest entry on a disk.
	 * @param state the state loaded from disk
	 * @return the index, 0 if the disk holds no log
	 */
	public static long lastIndex(PersistentState state) {
		return state.entries().isEmpty() ? state.snapshot().index()
				: state.entries().get(state.entries().size() - 1).index();
	}

}
