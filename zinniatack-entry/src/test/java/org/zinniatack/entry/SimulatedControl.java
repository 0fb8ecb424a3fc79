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
 * Control as entries see it: the real state behind replies that may be late, lost or
 * given to a command that was sent twice.
 */
final class SimulatedControl {

	private static final long GIVE_UP_MS = 3_000;

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

	void setSilent(boolean changed) {
		this.silent = changed;
	}

	boolean isSilent() {
		return this.silent;
	}

	void feed(SimulatedEntry entry) {
		entry.accept(new Message.Feed(this.state.records().revision(), 0, this.state.records().recordsAfter(0), 1, 0,
				this.state.newestWeightVersions(), 0, Map.of(), this.state.crashes().version(),
				this.state.crashes().suspects(), this.state.crashes().quarantined(), Map.of(), TableVersion.NONE));
	}

	/** Carries out a command as one entry sends it. */
	CompletableFuture<Reply> propose(SimulatedEntry entry, Command command) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		this.system.time().after(this.system.random(2, 8), () -> {
			if (this.silent) {
				boolean accepted = this.system.random(0, 2) == 0;
				if (accepted) {
					apply(command);
				}
				later(entry, GIVE_UP_MS, () -> reply
					.completeExceptionally(ServiceException.of(ResultCode.CHANGE_UNDECIDED, "control is silent")));
				return;
			}
			Reply first = apply(command);
			Reply given = (this.system.random(0, 4) == 0) ? apply(command) : first;
			later(entry, this.system.random(2, 8), () -> reply.complete(given));
		});
		return reply;
	}

	private void later(SimulatedEntry entry, long delayMs, Runnable task) {
		this.system.time().after(delayMs, () -> {
			if (entry.isAlive()) {
				task.run();
			}
		});
	}

}
