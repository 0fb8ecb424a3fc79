package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ServiceException;

/**
 * Durable storage of one replica's state. Once a write has returned, its data survives a
 * crash.
 */
public interface ReplicaStore extends AutoCloseable {

	/**
	 * Opens and locks a data folder. An empty folder gets a new identity.
	 * @param folder the data folder
	 * @param replicaName the name of the replica, the prefix of its identity
	 * @return the store
	 * @throws ServiceException with FOLDER_LOCKED, FORMAT_UNKNOWN, LOG_CORRUPT or
	 * DISK_FULL
	 */
	static ReplicaStore open(Path folder, String replicaName) throws ServiceException {
		return FolderStore.open(folder, replicaName, JournalFile::open);
	}

	@Override
	void close();

	/**
	 * Returns the processes with which this one may form a system.
	 * @return the names given to {@link #rememberFounders}, empty for none
	 * @throws ServiceException with DISK_FULL if they cannot be read
	 */
	Set<String> founders() throws ServiceException;

	/**
	 * Writes that this process may form a system with others, so that a restart does not
	 * forget it before the system is formed.
	 * @param names the names of all these processes
	 * @throws ServiceException with DISK_FULL if the write fails
	 */
	void rememberFounders(Set<String> names) throws ServiceException;

	/**
	 * Returns whether the folder holds the state of a replica.
	 * @return false for an empty folder until {@link #initialize} or the first snapshot
	 */
	boolean isInitialized();

	/**
	 * Returns the size of the journals, which hold the changes since the snapshot.
	 * @return the size, in bytes
	 */
	long journalBytes();

	/**
	 * Reads the state from the folder, and cuts off a torn record at the end of the
	 * journal.
	 * @return the state to resume the replica with, empty if not initialized
	 * @throws ServiceException with LOG_CORRUPT or DISK_FULL
	 */
	PersistentState load() throws ServiceException;

	/**
	 * Writes and syncs the hard state, snapshot and entries of the effects.
	 * @param effects the effects
	 * @throws ServiceException with DISK_FULL if the write fails; the data of earlier
	 * calls is unaffected
	 */
	void persist(Effects effects) throws ServiceException;

	/**
	 * Returns the identity of the replica, unique to its data folder.
	 * @return the replica's name, a dot and a random incarnation
	 */
	String replicaId();

	/**
	 * Starts a new journal, so that the earlier ones can be deleted once a snapshot
	 * covers them.
	 * @return the index of the last entry in the earlier journals
	 * @throws ServiceException with DISK_FULL if the write fails
	 */
	long startJournal() throws ServiceException;

	/**
	 * Writes a snapshot but keeps the journal entries that it covers. May be called from
	 * any thread, so that writing a large snapshot does not delay other writes.
	 * @param header the snapshot, whose size is not known yet
	 * @param encoder writes the encoded state
	 * @return the snapshot with its size
	 * @throws ServiceException with DISK_FULL if the write fails
	 */
	Snapshot prepareSnapshot(Snapshot header, SnapshotEncoder encoder) throws ServiceException;

	/**
	 * Deletes what a prepared snapshot replaces: older snapshots, and the journals before
	 * the one that was started last.
	 * @param snapshot the snapshot, which covers all entries of these journals
	 * @throws ServiceException with DISK_FULL if a file cannot be deleted
	 */
	void commitSnapshot(Snapshot snapshot) throws ServiceException;

	/**
	 * Opens the encoded state of the stored snapshot. The stream remains readable when
	 * another snapshot replaces this one.
	 * @param snapshot the snapshot
	 * @return the encoded state
	 * @throws ServiceException with LOG_CORRUPT or DISK_FULL
	 */
	InputStream openSnapshot(Snapshot snapshot) throws ServiceException;

	/**
	 * Reads a part of the encoded state of the stored snapshot.
	 * @param snapshot the snapshot
	 * @param offset the position of the part, a multiple of {@link Snapshot#PART_BYTES}
	 * @param length the size of the part, at most {@link Snapshot#PART_BYTES}
	 * @return the part
	 * @throws ServiceException with LOG_CORRUPT or DISK_FULL
	 */
	byte[] readSnapshotPart(Snapshot snapshot, long offset, int length) throws ServiceException;

	/**
	 * Replaces the stored snapshot and entries by the given ones. The snapshot was
	 * prepared or received before.
	 * @param snapshot the snapshot
	 * @param laterEntries the entries after the snapshot
	 * @throws ServiceException with DISK_FULL if the write fails
	 */
	void saveSnapshot(Snapshot snapshot, List<LogEntry> laterEntries) throws ServiceException;

	/**
	 * Initializes a folder that holds no state yet.
	 * @param state the state to start the replica with
	 * @throws ServiceException with DISK_FULL if the write fails
	 */
	void initialize(PersistentState state) throws ServiceException;

	/** Writes the encoded state of a snapshot. */
	@FunctionalInterface
	interface SnapshotEncoder {

		/**
		 * Writes the encoded state.
		 * @param output the stream to write to, which ignores a flush and a close
		 * @throws IOException if the stream cannot be written
		 */
		void encodeTo(OutputStream output) throws IOException;

	}

}
