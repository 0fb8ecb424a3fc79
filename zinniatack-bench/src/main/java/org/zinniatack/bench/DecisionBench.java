package org.zinniatack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.core.admission.AdmissionController;
import org.zinniatack.core.admission.CostEstimator;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.queue.RequestQueue;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.core.routing.Router;

/**
 * Measures the time that one core takes to admit, queue and route a request, and to
 * refuse one.
 */
@CommandLine.Command(name = "decisions", description = "Measures admission, queueing and routing on one core.")
final class DecisionBench implements Callable<Integer> {

	private static final int CALLS = 200_000;

	private static final int ROUNDS = 5;

	private static final int QUEUE_DEPTH = 64;

	@Override
	public Integer call() throws ServiceException {
		Table table = new Table("targets", "customers", "decisions a second", "ns each", "least loaded, ns each",
				"refusal, ns each");
		for (int targets : new int[] { 12, 100, 300, 1000, 2900 }) {
			for (int customers : new int[] { 8, 800 }) {
				double affinityNs = measureBestNs(targets, customers,
						Router.prefixAffinity("a", new SplittableRandom(1)));
				double baselineNs = measureBestNs(targets, customers, Router.leastLoaded());
				table.row(targets, customers, 1e9 / affinityNs, affinityNs, baselineNs, measureRefusalNs());
			}
		}
		table.print();
		return 0;
	}

	private static double measureBestNs(int targetCount, int customerCount, Router<BenchTarget> router)
			throws ServiceException {
		double bestNs = Double.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			int count = (targetCount > 500 && round == 0) ? CALLS / 10 : CALLS / 4;
			bestNs = Math.min(bestNs, measureRoundNs(targetCount, customerCount, router, count));
		}
		return bestNs;
	}

	private static double measureRoundNs(int targetCount, int customerCount, Router<BenchTarget> router, int count)
			throws ServiceException {
		List<BenchTarget> targets = new ArrayList<>();
		for (int number = 0; number < targetCount; number++) {
			targets.add(new BenchTarget("t" + number));
		}
		router.updateTargets(targets);
		AdmissionController admission = new AdmissionController();
		CostEstimator costs = new CostEstimator();
		RequestQueue<Long> queue = RequestQueue.weightedFair();
		Specification.CustomerPolicy[] policies = new Specification.CustomerPolicy[customerCount];
		for (int number = 0; number < customerCount; number++) {
			policies[number] = Specification.CustomerPolicy.defaults("c" + number);
		}
		List<BenchTarget> running = new ArrayList<>();
		long startedNs = System.nanoTime();
		for (int call = 0; call < count; call++) {
			Specification.CustomerPolicy policy = policies[call % customerCount];
			RequestQueue.Flow flow = new RequestQueue.Flow(policy.customer(), false, 1);
			admission.admit(policy, (long) queue.costAhead(flow) / 1_000_000, call);
			queue.add(Hashing.combine(call % 512, 7), flow, costs.estimateTokens(policy.customer(), "r", 100));
			if (queue.size() > QUEUE_DEPTH) {
				BenchTarget target = router.choose(queue.poll((each) -> true).orElseThrow()).orElseThrow();
				target.start();
				running.add(target);
				admission.release(policy.customer());
			}
			if (running.size() > targetCount * 4) {
				running.remove(running.size() - 1).end();
			}
		}
		return (double) (System.nanoTime() - startedNs) / count;
	}

	private static double measureRefusalNs() {
		AdmissionController admission = new AdmissionController();
		Specification.CustomerPolicy policy = new Specification.CustomerPolicy("c", 0, 0, 10, 1, 0);
		long startedNs = System.nanoTime();
		for (int call = 0; call < CALLS; call++) {
			try {
				admission.admit(policy, 11, call);
			}
			catch (ServiceException ex) {
				// The refusal is expected: its cost is measured.
			}
		}
		return (double) (System.nanoTime() - startedNs) / CALLS;
	}

}
