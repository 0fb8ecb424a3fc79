package org.zinniatack.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * An exclusive file lock on a data folder, which prevents a second process from using it.
 */
final class FolderLock implements AutoCloseable {

	private final FileChannel channel;

	private FolderLock(FileChannel channel) {
		this.channel = channel;
	}

	static FolderLock acquire(Path folder) throws ServiceException, IOException {
		FileChannel channel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE);
		if (tryLock(channel) == null) {
			channel.close();
			throw ServiceException.of(ResultCode.FOLDER_LOCKED, "data folder " + folder + " is in use");
		}
		return new FolderLock(channel);
	}

	private static @Nullable FileLock tryLock(FileChannel channel) throws IOException {
		try {
			return channel.tryLock();
		}
		catch (OverlappingFileLockException ex) {
			return null;
		}
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

}
