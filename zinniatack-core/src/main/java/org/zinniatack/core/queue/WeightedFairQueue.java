package org.zinniatack.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Implements start-time fair queueing. The virtual start of a request is the later of the
 * queue's virtual time and the virtual finish of the flow's previous request. Its virtual
 * finish is its start plus its cost divided by the flow's weight. The earliest start is
 * served first, so an idle flow accumulates no credit and an overloaded flow delays only
 * itself.
 *
 * @param <T> the type of a request
 */
final class WeightedFairQueue<T> implements RequestQueue<T> {

	/**
	 * Above this number of flows, idle ones whose virtual finish has passed are removed.
	 */
	private static final int FLOW_CLEANUP_THRESHOLD = 1024;

	private final Map<FlowKey, FlowState<T>> flows = new HashMap<>();

	private final TreeSet<FlowState<T>> byStart = new TreeSet<>(
			Comparator.<FlowState<T>>comparingDouble((flow) -> flow.waiting.peekFirst().start())
				.thenComparingLong((flow) -> flow.waiting.peekFirst().sequence()));

	private double virtualTime;

	private long nextSequence;

	private int size;

	@Override
	public void add(T request, Flow flow, double costTokens) {
		FlowState<T> state = this.flows.computeIfAbsent(FlowKey.of(flow), (absent) -> new FlowState<>());
		double start = Math.max(this.virtualTime, state.lastFinish);
		state.flow = flow;
		state.lastFinish = start + costTokens / flow.weight();
		state.costTokens += costTokens;
		state.waiting.add(new Entry<>(request, start, costTokens, this.nextSequence++));
		if (state.waiting.size() == 1) {
			this.byStart.add(state);
		}
		this.size++;
	}

	@Override
	public boolean isEmpty() {
		return this.size == 0;
	}

	@Override
	public Optional<T> poll(Predicate<Flow> eligible) {
		for (FlowState<T> state : this.byStart) {
			if (eligible.test(state.flow)) {
				this.byStart.remove(state);
				Entry<T> next = state.waiting.pollFirst();
				state.costTokens -= next.costTokens();
				this.virtualTime = Math.max(this.virtualTime, next.start());
				this.size--;
				reinsertOrCleanUp(state);
				return Optional.of(next.request());
			}
		}
		return Optional.empty();
	}

	private void reinsertOrCleanUp(FlowState<T> state) {
		if (!state.waiting.isEmpty()) {
			this.byStart.add(state);
		}
		else if (this.flows.size() > FLOW_CLEANUP_THRESHOLD) {
			this.flows.values().removeIf((flow) -> flow.waiting.isEmpty() && flow.lastFinish <= this.virtualTime);
		}
	}

	@Override
	public List<T> removeIf(Predicate<T> condition) {
		List<T> removed = new ArrayList<>();
		for (FlowState<T> state : this.flows.values()) {
			if (state.waiting.stream().anyMatch((next) -> condition.test(next.request()))) {
				this.byStart.remove(state);
				double start = state.waiting.peekFirst().start();
				removeFrom(state, condition, removed);
				recomputeStarts(state, start);
			}
		}
		this.size -= removed.size();
		return removed;
	}

	private void removeFrom(FlowState<T> state, Predicate<T> condition, List<T> removed) {
		state.waiting.removeIf((next) -> {
			boolean matches = condition.test(next.request());
			if (matches) {
				removed.add(next.request());
				state.costTokens -= next.costTokens();
			}
			return matches;
		});
	}

	/**
	 * Recomputes the virtual times of a flow after a removal, so that the removed
	 * requests do not count against it.
	 */
	private void recomputeStarts(FlowState<T> state, double initialStart) {
		double start = initialStart;
		Deque<Entry<T>> rescheduled = new ArrayDeque<>();
		for (Entry<T> next : state.waiting) {
			rescheduled.add(new Entry<>(next.request(), start, next.costTokens(), next.sequence()));
			start += next.costTokens() / state.flow.weight();
		}
		state.lastFinish = start;
		state.waiting.clear();
		state.waiting.addAll(rescheduled);
		if (!state.waiting.isEmpty()) {
			this.byStart.add(state);
		}
	}

	@Override
	public int size() {
		return this.size;
	}

	@Override
	public double costAhead(Flow flow) {
		FlowState<T> own = this.flows.get(FlowKey.of(flow));
		double ownCost = (own != null) ? own.costTokens : 0;
		double activeWeight = flow.weight();
		double totalCost = 0;
		for (FlowState<T> state : this.byStart) {
			totalCost += state.costTokens;
			activeWeight += (state != own) ? state.flow.weight() : 0;
		}
		return Math.min(totalCost, ownCost * activeWeight / flow.weight());
	}

	private record FlowKey(String customer, boolean bulk) {

		static FlowKey of(Flow flow) {
			return new FlowKey(flow.customer(), flow.bulk());
		}

	}

	private record Entry<T>(T request, double start, double costTokens, long sequence) {
	}

	private static final class FlowState<T> {

		private final Deque<Entry<T>> waiting = new ArrayDeque<>();

		private Flow flow = new Flow("", false, 1);

		private double lastFinish;

		private double costTokens;

	}

}
