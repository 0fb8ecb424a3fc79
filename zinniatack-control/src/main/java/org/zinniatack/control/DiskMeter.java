package org.zinniatack.control;

import java.util.concurrent.TimeUnit;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.store.ReplicaStore;

/**
 * Measures what the rounds of one thread spend on the disk.
 */
final class DiskMeter {

	private final ReplicaStore store;

	private long waitedNs;

	private long writtenBytes;

	DiskMeter(ReplicaStore store) {
		this.store = store;
	}

	/** Begins a round. */
	void begin() {
		this.waitedNs = 0;
		this.writtenBytes = 0;
	}

	/**
	 * Runs a step that waits for the disk.
	 * @param step the step
	 * @throws ServiceException if the step fails
	 */
	void run(DiskStep step) throws ServiceException {
		long startedNs = System.nanoTime();
		long journalBytes = this.store.journalBytes();
		try {
			step.run();
		}
		finally {
			this.waitedNs += System.nanoTime() - startedNs;
			this.writtenBytes += Math.max(0, this.store.journalBytes() - journalBytes);
		}
	}

	/** Returns the time of the round's steps on the disk, in milliseconds. */
	long waitedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.waitedNs);
	}

	/** Returns by how much the round's steps have extended the journals, in bytes. */
	long writtenBytes() {
		return this.writtenBytes;
	}

	/** A step that waits for the disk. */
	@FunctionalInterface
	interface DiskStep {

		void run() throws ServiceException;

	}

}
