package org.zinniatack.control;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.zinniatack.core.consensus.LogEntry;

/**
 * Joins the entries over which a large command is divided. A leader that ended in between
 * leaves parts that the entries of another term do not continue; these are dropped.
 */
final class CommandParts {

	private ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private int count;

	private long term;

	/** Returns how many of the entries added last belong to an incomplete command. */
	int count() {
		return this.count;
	}

	/**
	 * Adds the next committed entry.
	 * @return the command that the entry completes, or empty if it completes none
	 */
	Optional<byte[]> add(LogEntry entry) {
		boolean continues = this.count > 0 && this.term == entry.term();
		if (!continues) {
			clear();
		}
		if (entry.kind() == LogEntry.Kind.PART) {
			this.bytes.writeBytes(entry.command());
			this.term = entry.term();
			this.count++;
			return Optional.empty();
		}
		Optional<byte[]> command = (entry.kind() == LogEntry.Kind.COMMAND) ? Optional.of(joined(entry.command()))
				: Optional.empty();
		clear();
		return command;
	}

	private byte[] joined(byte[] last) {
		if (this.count == 0) {
			return last;
		}
		this.bytes.writeBytes(last);
		return this.bytes.toByteArray();
	}

	private void clear() {
		if (this.count > 0) {
			this.bytes = new ByteArrayOutputStream();
			this.count = 0;
		}
	}

}
