package org.zinniatack.store;

import java.util.ArrayList;
import java.util.List;

import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;

/**
 * Restores the state from a snapshot and the batches of a journal. Entries that the
 * snapshot covers are not kept.
 */
final class JournalReplay {

	private static final long NO_TERM = -1;

	private final Snapshot snapshot;

	private final List<LogEntry> entries = new ArrayList<>();

	private HardState hardState;

	private boolean beginsAtSnapshot;

	/** The term of the journal's entry at the snapshot's index. */
	private long termAtSnapshot = NO_TERM;

	JournalReplay(HardState hardState, Snapshot snapshot) {
		this.hardState = hardState;
		this.snapshot = snapshot;
		this.beginsAtSnapshot = snapshot.index() == 0;
	}

	void add(Batch batch) {
		if (batch.baseIndex() >= 0) {
			begin(batch);
		}
		if (batch.hardState() != null) {
			this.hardState = batch.hardState();
		}
		if (batch.truncateFrom() > 0) {
			truncate(batch.truncateFrom());
		}
		batch.entries().forEach(this::add);
	}

	/** Begins a journal, which continues the one before up to its base. */
	private void begin(Batch first) {
		truncate(first.baseIndex() + 1);
		if (first.baseIndex() == this.snapshot.index() && first.baseTerm() == this.snapshot.term()) {
			this.beginsAtSnapshot = true;
		}
	}

	private void truncate(long index) {
		if (index <= this.snapshot.index()) {
			this.termAtSnapshot = NO_TERM;
		}
		this.entries.removeIf((entry) -> entry.index() >= index);
	}

	private void add(LogEntry entry) {
		if (entry.index() == this.snapshot.index()) {
			this.termAtSnapshot = entry.term();
		}
		else if (entry.index() > this.snapshot.index()) {
			this.entries.add(entry);
		}
	}

	/**
	 * Returns the restored state, with the entries after the snapshot, or none if the
	 * journal does not continue the snapshot.
	 */
	PersistentState state() {
		return new PersistentState(this.hardState, this.snapshot,
				continuesSnapshot() ? List.copyOf(this.entries) : List.of());
	}

	/** Returns whether a journal begins at the snapshot or holds its last entry. */
	boolean continuesSnapshot() {
		return this.termAtSnapshot == this.snapshot.term() || this.beginsAtSnapshot;
	}

}
