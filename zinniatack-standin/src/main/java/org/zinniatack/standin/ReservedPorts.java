package org.zinniatack.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Scanner;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for processes whose addresses must be known before they start. No outgoing
 * connection takes one of them, since they are outside the range from which the operating
 * system chooses, and no other user of this class gets one until this process ends.
 */
public final class ReservedPorts {

	private static final Path DEFAULT_FOLDER = Path.of(System.getProperty("java.io.tmpdir"), "zinniatack-ports");

	private static final Path CHOSEN_BY_SYSTEM = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

	private static final int FIRST_PORT = 10_000;

	private static final int END_PORT = 20_000;

	private static final int BLOCK_SIZE = 50;

	private static final ReservedPorts OF_THIS_PROCESS = new ReservedPorts(DEFAULT_FOLDER);

	private final Path folder;

	/** Open for as long as the process lives, since closing one gives up its lock. */
	private final List<FileChannel> lockedBlocks = new ArrayList<>();

	private int nextPort;

	private int blockEndPort;

	/** Creates a source that excludes others by lock files in the same folder. */
	ReservedPorts(Path folder) {
		this.folder = folder;
	}

	/**
	 * Returns a loopback address whose port nobody listens on.
	 * @return host and port, different at each call
	 * @throws UncheckedIOException if the lock files cannot be written
	 */
	public static String nextAddress() {
		return "127.0.0.1:" + OF_THIS_PROCESS.next();
	}

	/** Returns a port that nobody listens on. */
	synchronized int next() {
		try {
			while (true) {
				if (this.nextPort == this.blockEndPort) {
					lockBlock();
				}
				int port = this.nextPort++;
				if (isFree(port)) {
					return port;
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void lockBlock() throws IOException {
		Files.createDirectories(this.folder);
		int blockCount = (END_PORT - FIRST_PORT) / BLOCK_SIZE;
		int firstBlock = ThreadLocalRandom.current().nextInt(blockCount);
		for (int tried = 0; tried < blockCount; tried++) {
			int start = FIRST_PORT + (firstBlock + tried) % blockCount * BLOCK_SIZE;
			if (!isChosenBySystem(start) && tryLock(start)) {
				this.nextPort = start;
				this.blockEndPort = start + BLOCK_SIZE;
				return;
			}
		}
		throw new IOException("all ports from " + FIRST_PORT + " to " + (END_PORT - 1) + " are reserved in "
				+ this.folder + " or chosen by the system");
	}

	private boolean tryLock(int start) throws IOException {
		FileChannel channel = FileChannel.open(this.folder.resolve(Integer.toString(start)), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE);
		try {
			if (channel.tryLock() != null) {
				this.lockedBlocks.add(channel);
				return true;
			}
		}
		catch (OverlappingFileLockException ex) {
			// Another source of this process holds the block.
		}
		channel.close();
		return false;
	}

	/** Returns whether outgoing connections may take ports of a block. */
	private static boolean isChosenBySystem(int start) throws IOException {
		if (!Files.exists(CHOSEN_BY_SYSTEM)) {
			return false;
		}
		try (Scanner range = new Scanner(CHOSEN_BY_SYSTEM)) {
			int first = range.nextInt();
			int last = range.nextInt();
			return start + BLOCK_SIZE > first && start <= last;
		}
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port)) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
