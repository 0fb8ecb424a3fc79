package org.zinniatack.gateway.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.stream.StreamOrigin;

/**
 * Knows where streams began that callers may take up at any entry.
 */
public interface StreamRegistry {

	/** Remembers nothing, so that no stream can be taken up. */
	StreamRegistry NONE = new StreamRegistry() {

		@Override
		public boolean mayBeginAt(TargetNotice target) {
			return true;
		}

		@Override
		public void recordBegun(Call call, StreamOrigin origin) {
			// Nothing is remembered.
		}

		@Override
		public CompletableFuture<Optional<StreamOrigin>> find(Call call) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

	};

	/**
	 * Returns whether a stream that callers may take up can begin at a target.
	 * @param target the target
	 * @return false if an entry that does not know of the stream could take it for one of
	 * another software version
	 */
	boolean mayBeginAt(TargetNotice target);

	/**
	 * Records where a stream began whose caller gets the first event.
	 * @param call the call
	 * @param origin where it began
	 */
	void recordBegun(Call call, StreamOrigin origin);

	/**
	 * Finds out where the stream began that a call takes up.
	 * @param call a call with a take-up
	 * @return the origin, empty if it cannot be known; it may complete on any thread
	 */
	CompletableFuture<Optional<StreamOrigin>> find(Call call);

}
