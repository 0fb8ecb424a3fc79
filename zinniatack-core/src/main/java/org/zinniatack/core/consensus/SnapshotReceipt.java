package org.zinniatack.core.consensus;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The received parts of a snapshot at a follower. Two leaders may encode the same state
 * differently, so parts are joined only if they come from one leader.
 */
final class SnapshotReceipt {

	private final List<ConsensusMessage.SnapshotPart> parts = new ArrayList<>();

	private ConsensusMessage.@Nullable SnapshotPart first;

	private long receivedBytes;

	/** Returns the size of what was received without a gap, in bytes. */
	long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Adds a part if it continues what was received.
	 * @return true if the snapshot is complete
	 */
	boolean add(ConsensusMessage.SnapshotPart part) {
		if (!isOfSameTransfer(part)) {
			this.first = part;
			this.receivedBytes = 0;
			this.parts.clear();
		}
		if (part.offset() != this.receivedBytes) {
			return false;
		}
		if (part.bytes().length > 0) {
			this.parts.add(part);
			this.receivedBytes += part.bytes().length;
		}
		boolean complete = this.receivedBytes >= part.snapshot().sizeBytes();
		if (complete) {
			this.first = null;
		}
		return complete;
	}

	private boolean isOfSameTransfer(ConsensusMessage.SnapshotPart part) {
		ConsensusMessage.SnapshotPart known = this.first;
		return known != null && known.from().equals(part.from()) && known.term() == part.term()
				&& known.snapshot().index() == part.snapshot().index();
	}

	/** Returns the parts that are not stored yet, and forgets them. */
	List<ConsensusMessage.SnapshotPart> takeParts() {
		List<ConsensusMessage.SnapshotPart> taken = List.copyOf(this.parts);
		this.parts.clear();
		return taken;
	}

}
