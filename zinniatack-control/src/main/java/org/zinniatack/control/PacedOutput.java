package org.zinniatack.control;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.util.concurrent.Ticker;

/**
 * Pauses its writer for twice the time that each slice took, so that a snapshot leaves
 * most of a small machine's processor to heartbeats and calls.
 */
final class PacedOutput extends FilterOutputStream {

	private static final int SLICE_BYTES = 64 * 1024;

	private static final int PAUSE_FACTOR = 2;

	private static final long MAXIMUM_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(100);

	private final Ticker ticker;

	private final BooleanSupplier hurried;

	private int sliceBytes;

	private long sliceBeganNs;

	/**
	 * Creates a stream that is not paced yet.
	 * @param output the stream to write to
	 * @param ticker the clock
	 * @param hurried returns whether the writer may not pause any more
	 */
	PacedOutput(OutputStream output, Ticker ticker, BooleanSupplier hurried) {
		super(output);
		this.ticker = ticker;
		this.hurried = hurried;
		this.sliceBeganNs = ticker.nanoTime();
	}

	@Override
	public void write(int single) throws IOException {
		write(new byte[] { (byte) single }, 0, 1);
	}

	@Override
	public void write(byte[] bytes, int from, int length) throws IOException {
		this.out.write(bytes, from, length);
		this.sliceBytes += length;
		if (this.sliceBytes >= SLICE_BYTES) {
			pause();
			this.sliceBytes = 0;
			this.sliceBeganNs = this.ticker.nanoTime();
		}
	}

	private void pause() throws IOException {
		if (this.hurried.getAsBoolean()) {
			return;
		}
		try {
			long pauseNs = PAUSE_FACTOR * (this.ticker.nanoTime() - this.sliceBeganNs);
			TimeUnit.NANOSECONDS.sleep(Math.min(pauseNs, MAXIMUM_PAUSE_NS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("the snapshot was interrupted");
		}
	}

}
