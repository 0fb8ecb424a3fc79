package org.zinniatack.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Serves eligible requests in the order of arrival.
 *
 * @param <T> the type of a request
 */
final class FirstInFirstOutQueue<T> implements RequestQueue<T> {

	private final Deque<Entry<T>> waiting = new ArrayDeque<>();

	private double totalCostTokens;

	@Override
	public void add(T request, Flow flow, double costTokens) {
		this.waiting.add(new Entry<>(request, flow, costTokens));
		this.totalCostTokens += costTokens;
	}

	@Override
	public boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	@Override
	public Optional<T> poll(Predicate<Flow> eligible) {
		Iterator<Entry<T>> arrivals = this.waiting.iterator();
		while (arrivals.hasNext()) {
			Entry<T> next = arrivals.next();
			if (eligible.test(next.flow())) {
				arrivals.remove();
				this.totalCostTokens -= next.costTokens();
				return Optional.of(next.request());
			}
		}
		return Optional.empty();
	}

	@Override
	public List<T> removeIf(Predicate<T> condition) {
		List<T> removed = new ArrayList<>();
		this.waiting.removeIf((next) -> {
			boolean matches = condition.test(next.request());
			if (matches) {
				removed.add(next.request());
				this.totalCostTokens -= next.costTokens();
			}
			return matches;
		});
		return removed;
	}

	@Override
	public int size() {
		return this.waiting.size();
	}

	@Override
	public double costAhead(Flow flow) {
		return this.totalCostTokens;
	}

	private record Entry<T>(T request, Flow flow, double costTokens) {
	}

}
