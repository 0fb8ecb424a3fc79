package org.zinniatack.process;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * A connection that is opened again, after a growing and jittered delay, when it is lost.
 */
public final class Link {

	private static final long FIRST_DELAY_MS = 50;

	private static final long LONGEST_DELAY_MS = 600;

	private final PeerNetwork network;

	private final String address;

	private final Consumer<Peer> opened;

	private volatile @Nullable Peer peer;

	private volatile boolean closed;

	private long delayMs = FIRST_DELAY_MS;

	/**
	 * Returns a connection that is not yet open.
	 * @param network the sockets of the process
	 * @param address the address as host and port
	 * @param opened what to do each time the connection is open
	 */
	public Link(PeerNetwork network, String address, Consumer<Peer> opened) {
		this.network = network;
		this.address = address;
		this.opened = opened;
	}

	/**
	 * Opens the connection and keeps it open.
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
		this.delayMs = FIRST_DELAY_MS;
		this.peer = connected;
		this.opened.accept(connected);
		connected.whenClosed(this::onLost);
	}

	private void onLost() {
		this.peer = null;
		reopenLater();
	}

	private void reopenLater() {
		long jitteredMs = this.delayMs / 2 + ThreadLocalRandom.current().nextLong(this.delayMs);
		this.delayMs = Math.min(2 * this.delayMs, LONGEST_DELAY_MS);
		this.network.schedule(this::open, jitteredMs);
	}

	/**
	 * Closes the connection for good.
	 */
	public void close() {
		this.closed = true;
		peer().ifPresent(Peer::close);
	}

	/**
	 * Returns the address.
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
