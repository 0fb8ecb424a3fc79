package org.zinniatack.core.stream;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of the streams that began in the last minute. The number is limited: beyond
 * it the oldest are forgotten, and nobody can take them up. It is not thread-safe.
 */
public final class StreamOrigins {

	/**
	 * The time for which origins are remembered, in milliseconds; callers wait for less
	 * than that altogether.
	 */
	public static final long RETENTION_MS = 60_000;

	/** Bounds the heap that they take in an entry on a small VM. */
	static final int MAXIMUM_COUNT = 100_000;

	/** As many as differ at a time, far fewer than streams. */
	private static final int MAXIMUM_SHARED = 64;

	/** One copy of each origin. */
	private final Map<StreamOrigin, StreamOrigin> shared = new HashMap<>();

	private final Map<Long, Entry> entriesByKey = new LinkedHashMap<>();

	/**
	 * Records a stream, unless one with its key is recorded already.
	 * @param stream the stream
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void record(BegunStream stream, long nowMs) {
		removeOutdated(nowMs);
		if (this.shared.size() >= MAXIMUM_SHARED) {
			this.shared.clear();
		}
		StreamOrigin origin = this.shared.computeIfAbsent(stream.origin(), (absent) -> absent);
		this.entriesByKey.putIfAbsent(stream.key(), new Entry(origin, nowMs));
	}

	private void removeOutdated(long nowMs) {
		Iterator<Entry> oldestFirst = this.entriesByKey.values().iterator();
		while (oldestFirst.hasNext()) {
			boolean recent = nowMs - oldestFirst.next().recordedAtMs() <= RETENTION_MS;
			if (recent && this.entriesByKey.size() < MAXIMUM_COUNT) {
				return;
			}
			oldestFirst.remove();
		}
	}

	/**
	 * Returns where a stream began.
	 * @param key the key of the attempt that brought its first event
	 * @return the origin, or empty if it is not remembered
	 */
	public Optional<StreamOrigin> find(long key) {
		return Optional.ofNullable(this.entriesByKey.get(key)).map(Entry::origin);
	}

	/**
	 * Returns all streams that are remembered.
	 * @return the streams, oldest first
	 */
	public List<BegunStream> all() {
		return this.entriesByKey.entrySet()
			.stream()
			.map((entry) -> new BegunStream(entry.getKey(), entry.getValue().origin()))
			.toList();
	}

	/**
	 * The origin of a stream.
	 *
	 * @param origin the origin
	 * @param recordedAtMs the monotonic time of the record, in milliseconds
	 */
	private record Entry(StreamOrigin origin, long recordedAtMs) {
	}

}
