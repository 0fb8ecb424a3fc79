package org.zinniatack.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Serves in the order of arrival.
 *
 * @param <T> the type of a request
 */
final class FirstInFirstOutQueue<T> implements RequestQueue<T> {

	private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

	private double costTokens;

	@Override
	public void add(T request, Flow flow, double cost) {
		this.waiting.add(new Waiting<>(request, flow, cost));
		this.costTokens += cost;
	}

	@Override
	public boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	@Override
	public Optional<T> poll(Predicate<Flow> eligible) {
		Iterator<Waiting<T>> oldestFirst = this.waiting.iterator();
		while (oldestFirst.hasNext()) {
			Waiting<T> next = oldestFirst.next();
			if (eligible.test(next.flow())) {
				oldestFirst.remove();
				this.costTokens -= next.costTokens();
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
				this.costTokens -= next.costTokens();
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
		return this.costTokens;
	}

	private record Waiting<T>(T request, Flow flow, double costTokens) {
	}

}
