package org.zinniatack.core.queue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests the serving order and fairness of request queues.
 */
class RequestQueueTests {

	private final RequestQueue<String> queue = RequestQueue.weightedFair();

	private static RequestQueue.Flow flow(String customer, double weight) {
		return new RequestQueue.Flow(customer, false, weight);
	}

	private String poll() {
		return this.queue.poll((flow) -> true).orElse("");
	}

	private Map<String, Integer> pollAndCount(int count) {
		Map<String, Integer> served = new HashMap<>();
		for (int number = 0; number < count; number++) {
			served.merge(poll(), 1, Integer::sum);
		}
		return served;
	}

	@Test
	void aCustomerThatOffersTwentyTimesItsShareDelaysOnlyItself() {
		for (int number = 0; number < 400; number++) {
			this.queue.add("greedy", flow("greedy", 1), 100);
		}
		for (int number = 0; number < 20; number++) {
			this.queue.add("modest", flow("modest", 1), 100);
		}
		assertThat(pollAndCount(40).get("modest"), is(20));
	}

	@Test
	void sharesFollowWeightsAndTokenCost() {
		for (int number = 0; number < 300; number++) {
			this.queue.add("heavy", flow("heavy", 2), 100);
			this.queue.add("light", flow("light", 1), 100);
			this.queue.add("expensive", flow("expensive", 1), 400);
		}
		Map<String, Integer> served = pollAndCount(300);
		assertThat((double) served.get("heavy") / served.get("light"), closeTo(2, 0.1));
		assertThat((double) served.get("light") / served.get("expensive"), closeTo(4, 0.3));
	}

	@Test
	void anIdleFlowSavesNothingUp() {
		for (int number = 0; number < 100; number++) {
			this.queue.add("busy", flow("busy", 1), 10);
		}
		pollAndCount(50);
		for (int number = 0; number < 50; number++) {
			this.queue.add("late", flow("late", 1), 10);
		}
		assertThat(pollAndCount(20).get("late"), lessThan(12));
	}

	@Test
	void removedRequestsGiveTheirShareBack() {
		for (int number = 0; number < 10; number++) {
			this.queue.add("gone", flow("a", 1), 1_000);
		}
		this.queue.add("kept", flow("a", 1), 10);
		this.queue.add("other", flow("b", 1), 100);
		assertThat(this.queue.removeIf("gone"::equals).size(), is(10));
		assertThat(this.queue.size(), is(2));
		assertThat(List.of(poll(), poll()), contains("kept", "other"));
	}

	@Test
	void ineligibleFlowsAreLeftOut() {
		this.queue.add("bulk", new RequestQueue.Flow("a", true, 1), 1);
		this.queue.add("person", flow("a", 1), 1_000);
		assertThat(this.queue.poll((flow) -> !flow.bulk()).orElse(""), is("person"));
		assertThat(this.queue.poll((flow) -> !flow.bulk()).isPresent(), is(false));
	}

	@Test
	void theCostAheadOfAModestCustomerIsItsShareOnly() {
		for (int number = 0; number < 100; number++) {
			this.queue.add("greedy", flow("greedy", 1), 100);
		}
		assertThat(this.queue.costAhead(flow("modest", 1)), is(0.0));
		this.queue.add("modest", flow("modest", 1), 100);
		assertThat(this.queue.costAhead(flow("modest", 1)), is(200.0));
	}

}
