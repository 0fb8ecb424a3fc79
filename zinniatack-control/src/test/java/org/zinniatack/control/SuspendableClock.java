package org.zinniatack.control;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Ticker;

/**
 * The clocks of a VM that can be suspended: its monotonic clock stands still meanwhile,
 * its wall clock does not, and a thread that reads one of them waits.
 */
final class SuspendableClock implements Ticker {

	private long stoppedNs;

	private long suspendedAtNs;

	private boolean suspended;

	@Override
	public synchronized long nanoTime() {
		awaitResumption();
		return System.nanoTime() - this.stoppedNs;
	}

	synchronized long wallMs() {
		awaitResumption();
		return System.currentTimeMillis();
	}

	private void awaitResumption() {
		while (this.suspended) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	synchronized void suspend() {
		this.suspended = true;
		this.suspendedAtNs = System.nanoTime();
	}

	synchronized void resume() {
		this.stoppedNs += System.nanoTime() - this.suspendedAtNs;
		this.suspended = false;
		notifyAll();
	}

	@Override
	public long initialNanoTime() {
		return 0;
	}

	@Override
	public void sleep(long delay, TimeUnit unit) throws InterruptedException {
		unit.sleep(delay);
	}

}
