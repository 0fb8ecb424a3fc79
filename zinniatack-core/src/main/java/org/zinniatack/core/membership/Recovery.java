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
 * Makes the last replica of a lost majority the sole voter, by an operator's decision.
 * What the lost replicas had accepted without it is lost.
 */
public final class Recovery {

	/** Puts the epoch above any that the lost replicas may have reached. */
	private static final long TERM_STEP = 1_000;

	private Recovery() {
	}

	/**
	 * Returns what to write to the replica's disk.
	 * @param held what the disk holds
	 * @param replicaId the id of the replica
	 * @return a hard state and an entry that names the replica as the only voter
	 * @throws ServiceException with FOLDER_EMPTY if the disk holds no log
	 */
	public static Effects forceSoleVoter(PersistentState held, String replicaId) throws ServiceException {
		Objects.requireNonNull(replicaId, "replicaId");
		long lastIndex = lastIndex(held);
		if (lastIndex == 0) {
			throw ServiceException.of(ResultCode.FOLDER_EMPTY, "there is nothing to recover");
		}
		long term = held.hardState().term() + TERM_STEP;
		LogEntry entry = LogEntry.membership(lastIndex + 1, term, Membership.ofVoters(List.of(replicaId)));
		return new Effects(new HardState(term, ""), null, 0, List.of(entry), List.of(), List.of());
	}

	/**
	 * Returns the index of the newest entry on a disk.
	 * @param held what the disk holds
	 * @return the index, 0 if it holds none
	 */
	public static long lastIndex(PersistentState held) {
		return held.entries().isEmpty() ? held.snapshot().index()
				: held.entries().get(held.entries().size() - 1).index();
	}

}
