package org.zinniatack.process;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * A connection that is reopened when it is lost, with exponential backoff and jitter.
 */
public final class ReconnectingLink {

	private static final long INITIAL_DELAY_MS = 50;

	/** A process that restarts is connected to again within a few heartbeats. */
	private static final long MAXIMUM_DELAY_MS = 200;

	private final PeerNetwork network;

	private final String address;

	private final Consumer<Peer> openListener;

	private volatile @Nullable Peer peer;

	private volatile boolean closed;

	private long delayMs = INITIAL_DELAY_MS;

	/**
	 * Creates a link whose connection is not open.
	 * @param network the network of the process
	 * @param address the address as host and port
	 * @param openListener called each time a connection was opened
	 */
	public ReconnectingLink(PeerNetwork network, String address, Consumer<Peer> openListener) {
		this.network = network;
		this.address = address;
		this.openListener = openListener;
	}

	/**
	 * Opens the connection and reopens it whenever it is lost.
	 */
	public void open() {
		if (!this.closed) {
			this.network.connect(this.address).whenComplete(this::onConnected);
		}
	}

	private void onConnected(@Nullable Peer connected, @Nullable Throwable failure) {
		if (connected == null) {
			reopenLater();
			return;
		}
		if (this.closed) {
			connected.close();
			return;
		}
		this.delayMs = INITIAL_DELAY_MS;
		this.peer = connected;
		this.openListener.accept(connected);
		connected.whenClosed(this::onLost);
	}

	private void onLost() {
		this.peer = null;
		reopenLater();
	}

	private void reopenLater() {
		long jitteredMs = this.delayMs / 2 + ThreadLocalRandom.current().nextLong(this.delayMs);
		this.delayMs = Math.min(2 * this.delayMs, MAXIMUM_DELAY_MS);
		this.network.schedule(this::open, jitteredMs);
	}

	/**
	 * Closes the connection; it is not reopened.
	 */
	public void close() {
		this.closed = true;
		peer().ifPresent(Peer::close);
	}

	/**
	 * Returns the address of the peer.
	 * @return host and port
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Returns the connection.
	 * @return the connection, or empty while it is not open
	 */
	public Optional<Peer> peer() {
		return Optional.ofNullable(this.peer).filter(Peer::isOpen);
	}

}
