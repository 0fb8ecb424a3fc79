package org.zinniatack.store;

import java.nio.file.Path;
import java.util.List;

import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ServiceException;

/**
 * The durable state of one replica. What a call has returned for survives a crash.
 */
public interface ReplicaStore extends AutoCloseable {

	/**
	 * Opens a data folder and locks it; an empty one gets a new identity.
	 * @param folder the data folder
	 * @param replicaName the replica's name, which its identity starts with
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
	 * Returns whether the folder held state when it was opened, or has since been given
	 * some.
	 * @return false for a folder that was empty
	 */
	boolean isInitialized();

	/**
	 * Reads what the folder holds.
	 * @return the state with which a replica continues
	 * @throws ServiceException with LOG_CORRUPT or DISK_FULL
	 */
	PersistentState load() throws ServiceException;

	/**
	 * Writes effects and syncs them.
	 * @param effects the effects
	 * @throws ServiceException with DISK_FULL if the disk refuses; the folder then still
	 * holds what earlier calls wrote
	 */
	void persist(Effects effects) throws ServiceException;

	/**
	 * Returns the replica's identity, unique for each data folder.
	 * @return the name and an incarnation
	 */
	String replicaId();

	/**
	 * Writes a snapshot beside the journal, which still holds what it covers. Any thread
	 * may call this, so that a large snapshot delays no other write.
	 * @param snapshot the snapshot
	 * @throws ServiceException with DISK_FULL if the disk refuses
	 */
	void prepareSnapshot(Snapshot snapshot) throws ServiceException;

	/**
	 * Writes a snapshot, unless it is prepared, and the entries after it in place of all
	 * earlier ones.
	 * @param snapshot the snapshot
	 * @param following the entries after it
	 * @throws ServiceException with DISK_FULL if the disk refuses
	 */
	void saveSnapshot(Snapshot snapshot, List<LogEntry> following) throws ServiceException;

	/**
	 * Starts a folder that is not formed.
	 * @param state the state with which the replica starts
	 * @throws ServiceException with DISK_FULL if the disk refuses
	 */
	void initialize(PersistentState state) throws ServiceException;

}
