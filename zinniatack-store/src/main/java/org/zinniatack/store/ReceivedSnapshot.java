package org.zinniatack.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Snapshot;

/**
 * A snapshot of which parts are received.
 */
final class ReceivedSnapshot {

	private final Path file;

	private final Journal output;

	private ReceivedSnapshot(Path file, Journal output) {
		this.file = file;
		this.output = output;
	}

	static ReceivedSnapshot create(Path file, Journal.Factory journalFactory) throws IOException {
		Files.deleteIfExists(file);
		return new ReceivedSnapshot(file, journalFactory.open(file));
	}

	Path file() {
		return this.file;
	}

	void add(ConsensusMessage.SnapshotPart part) throws IOException {
		SnapshotFile.writePart(this.output, part.bytes());
	}

	/** Ends the file, which is synced afterwards. */
	void finish(Snapshot snapshot) throws IOException {
		SnapshotFile.writeHeader(this.output, snapshot);
		this.output.close();
	}

	void discard() throws IOException {
		this.output.close();
		Files.deleteIfExists(this.file);
	}

}
