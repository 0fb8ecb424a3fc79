package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.JobId;

/**
 * The items that targets are generating, in the order in which the runner has opened
 * them.
 */
final class RunningItems {

	private final NavigableSet<ItemRun> runs = new TreeSet<>(Comparator.comparingLong((run) -> run.sequence));

	private final Map<PromptAtTarget, Integer> countsByPrompt = new HashMap<>();

	/** Adds an item whose target is set. */
	void add(ItemRun run, TargetNotice target) {
		if (this.runs.add(run)) {
			this.countsByPrompt.merge(PromptAtTarget.of(run, target), 1, Integer::sum);
		}
	}

	/** Removes an item, if it runs, before its target is cleared. */
	void remove(ItemRun run, @Nullable TargetNotice target) {
		if (target != null && this.runs.remove(run)) {
			this.countsByPrompt.computeIfPresent(PromptAtTarget.of(run, target),
					(prompt, count) -> (count == 1) ? null : count - 1);
		}
	}

	void clear() {
		this.runs.clear();
		this.countsByPrompt.clear();
	}

	/** Returns a copy of all items. */
	List<ItemRun> all() {
		return new ArrayList<>(this.runs);
	}

	/** Returns the items by job. */
	Map<JobId, List<ItemRun>> byJob() {
		Map<JobId, List<ItemRun>> byJob = new LinkedHashMap<>();
		this.runs.forEach((run) -> byJob.computeIfAbsent(run.job.id(), (absent) -> new ArrayList<>()).add(run));
		return byJob;
	}

	/** Returns whether a target runs an item with the same job and prompt. */
	boolean runsSamePrompt(ItemRun run, TargetNotice target) {
		return !run.item.promptKey().isEmpty() && this.countsByPrompt.containsKey(PromptAtTarget.of(run, target));
	}

	/**
	 * Returns the number of items with more output than a number of events.
	 * @param events the number of events
	 * @return the numbers by target id
	 */
	Map<String, Integer> countLongerThan(int events) {
		Map<String, Integer> counts = new HashMap<>();
		for (ItemRun run : this.runs) {
			TargetNotice target = run.target;
			if (target != null && run.text.eventCount() > events) {
				counts.merge(target.id(), 1, Integer::sum);
			}
		}
		return counts;
	}

	private record PromptAtTarget(JobId job, String targetId, String promptKey) {

		static PromptAtTarget of(ItemRun run, TargetNotice target) {
			return new PromptAtTarget(run.job.id(), target.id(), run.item.promptKey());
		}

	}

}
