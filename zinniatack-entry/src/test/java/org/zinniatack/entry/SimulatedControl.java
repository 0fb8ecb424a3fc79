package org.zinniatack.entry;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.wire.Message;

/**
 * A simulated control cluster that applies commands to the real control state. Replies
 * may be delayed or lost, and commands may be applied twice.
 */
final class SimulatedControl {

	private static final long CALL_TIMEOUT_MS = 3_000;

	private final SimulatedSystem system;

	private final ControlState state = new ControlState();

	private long index;

	private boolean silent;

	SimulatedControl(SimulatedSystem system) {
		this.system = system;
		system.time().every(100, () -> {
			if (!this.silent) {
				system.entries().stream().filter(SimulatedEntry::isAlive).forEach(this::feed);
			}
			return true;
		});
	}

	ControlState state() {
		return this.state;
	}

	Reply apply(Command command) {
		Reply reply = this.state.apply(++this.index, command);
		this.system.checkBatch();
		return reply;
	}

	void setSilent(boolean silent) {
		this.silent = silent;
	}

	boolean isSilent() {
		return this.silent;
	}

	void feed(SimulatedEntry entry) {
		entry.accept(new Message.Feed(this.state.records().revision(), 0, this.state.records().recordsAfter(0), 1, 0,
				this.state.newestWeightVersions(), 0, Map.of(), this.state.crashes().version(),
				this.state.crashes().suspects(), this.state.crashes().quarantined(), Map.of(), TableVersion.NONE));
	}

	/** Applies a command proposed by an entry and delivers the reply. */
	CompletableFuture<Reply> propose(SimulatedEntry entry, Command command) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		this.system.time().after(this.system.random(2, 8), () -> {
			if (this.silent) {
				boolean applied = this.system.random(0, 2) == 0;
				if (applied) {
					apply(command);
				}
				scheduleIfAlive(entry, CALL_TIMEOUT_MS, () -> reply
					.completeExceptionally(ServiceException.of(ResultCode.CHANGE_UNDECIDED, "control did not answer")));
				return;
			}
			Reply first = apply(command);
			Reply delivered = (this.system.random(0, 4) == 0) ? apply(command) : first;
			scheduleIfAlive(entry, this.system.random(2, 8), () -> reply.complete(delivered));
		});
		return reply;
	}

	private void scheduleIfAlive(SimulatedEntry entry, long delayMs, Runnable task) {
		this.system.time().after(delayMs, () -> {
			if (entry.isAlive()) {
				task.run();
			}
		});
	}

}
