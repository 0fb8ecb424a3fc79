package org.zinniatack.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Router;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.entry.SimulatedSystem.Defect;
import org.zinniatack.wire.Message;

/**
 * A simulated entry process: the real authority, dispatcher and step runners on simulated
 * connections and simulated time.
 */
final class SimulatedEntry {

	private static final long LEASE_MS = 3_000;

	private static final long TICK_MS = 100;

	private final SimulatedSystem system;

	private final Authority authority = new Authority(LEASE_MS);

	private final QueueingDispatcher dispatcher;

	private final Map<String, StepRunner> steps = new LinkedHashMap<>();

	private boolean alive = true;

	SimulatedEntry(SimulatedSystem system, long routingSeed) {
		this.system = system;
		this.dispatcher = new QueueingDispatcher(system.time()::nowMs, this.authority,
				() -> Router.prefixAffinity("target-1", new Random(routingSeed)), this::onFinished);
		system.time().every(TICK_MS, () -> {
			if (this.alive) {
				this.dispatcher.enforce();
				this.steps.values().removeIf(StepRunner::isFinished);
				List.copyOf(this.steps.values()).forEach(StepRunner::reissueSlots);
			}
			return this.alive;
		});
	}

	boolean isAlive() {
		return this.alive;
	}

	void crash() {
		this.alive = false;
	}

	QueueingDispatcher dispatcher() {
		return this.dispatcher;
	}

	void accept(Message.Feed feed) {
		this.authority.accept(feed, this.system.time().nowMs());
		this.dispatcher.enforce();
	}

	void reportCrash(Message.TargetCrash crash) {
		this.system.control().propose(this, new Command.ReportCrash(crash.crashId(), crash.requestDigests()));
		if (this.system.hasDefect(Defect.BYSTANDERS_QUARANTINED)) {
			crash.requestDigests()
				.forEach((digest) -> this.system.control()
					.propose(this, new Command.ReportCrash(crash.crashId() + digest, List.of(digest))));
		}
	}

	private void onFinished(QueueingDispatcher.FinishedRequest finished) {
		if (finished.clearedSuspect()) {
			this.system.control()
				.propose(this, new Command.ClearSuspect(finished.request().call().identity().digest()));
		}
	}

	void requireAuthority() throws ServiceException {
		if (!this.authority.isValid(this.system.time().nowMs())) {
			throw ServiceException.of(ResultCode.AUTHORITY_EXPIRED, "the authority lease has expired");
		}
	}

	Proposer proposer() {
		return (command) -> this.system.control().propose(this, command);
	}

	/** Opens a step of a trainer and runs it until its batch is committed. */
	void runStep(String step, int slotCount, StepRunner.Submitter submitter) {
		this.system.control()
			.propose(this, new Command.OpenStep("trainer", step, "draft", "digest", slotCount, 10))
			.thenAccept((reply) -> {
				if (reply instanceof Reply.Slots slots) {
					this.steps
						.computeIfAbsent(step,
								(absent) -> new StepRunner("trainer", step, submitter, proposer(),
										StragglerPolicy.medianMultiple(slotCount, 2, 1), this.system.time()::nowMs))
						.generate(slots.missing());
				}
			});
	}

}
