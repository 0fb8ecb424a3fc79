package org.zinniatack.control;

import java.util.List;
import java.util.function.LongSupplier;

import org.zinniatack.core.stream.BegunStream;
import org.zinniatack.core.stream.StreamOrigins;
import org.zinniatack.wire.Message;

/**
 * The origins of streams that entries reported to this process, in memory only: after a
 * loss of all processes the software history of the replicated state is left. Any thread
 * may use it.
 */
final class StreamRecords {

	private final StreamOrigins origins = new StreamOrigins();

	private final LongSupplier clockMs;

	StreamRecords(LongSupplier clockMs) {
		this.clockMs = clockMs;
	}

	synchronized void record(List<BegunStream> streams) {
		long nowMs = this.clockMs.getAsLong();
		streams.forEach((stream) -> this.origins.record(stream, nowMs));
	}

	synchronized Message.StreamFound find(Message.FindStream request) {
		return new Message.StreamFound(this.origins.find(request.key()).orElse(null));
	}

}
