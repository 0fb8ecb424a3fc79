package org.zinniatack.process;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;

import org.zinniatack.wire.Wire;

/**
 * The event loops of a process: those of its HTTP server once it has one, so that a
 * request changes threads as seldom as it can.
 */
public final class EventLoops implements Supplier<EventLoopGroup> {

	private static final int THREADS = 2;

	private final AtomicReference<EventLoopGroup> group = new AtomicReference<>();

	@Override
	public EventLoopGroup get() {
		EventLoopGroup known = this.group.get();
		return (known != null) ? known : this.group.updateAndGet(EventLoops::orOwn);
	}

	private static EventLoopGroup orOwn(EventLoopGroup known) {
		return (known != null) ? known : Wire.eventLoops(THREADS);
	}

	/**
	 * Names the event loops to share, before any is used.
	 * @param shared the event loops
	 */
	public void share(EventLoopGroup shared) {
		this.group.set(shared);
	}

}
