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
 * Measures how many requests one core can admit, queue and route in a second.
 */
@CommandLine.Command(name = "decisions", description = "Measures admission, queueing and routing on one core.")
final class DecisionBench implements Callable<Integer> {

	private static final int ROUND = 200_000;

	private static final int ROUNDS = 5;

	private static final int QUEUED = 64;

	@Override
	public Integer call() throws ServiceException {
		Table table = new Table("targets", "customers", "decisions a second", "ns each", "least loaded, ns each",
				"refusal, ns each");
		for (int targets : new int[] { 12, 100, 300, 1000, 2900 }) {
			for (int customers : new int[] { 8, 800 }) {
				double ns = best(targets, customers, Router.prefixAffinity("a", new SplittableRandom(1)));
				double baselineNs = best(targets, customers, Router.leastLoaded());
				table.row(targets, customers, 1e9 / ns, ns, baselineNs, refusalNs());
			}
		}
		table.print();
		return 0;
	}

	private static double best(int targetCount, int customerCount, Router<BenchTarget> router) throws ServiceException {
		double best = Double.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			int count = (targetCount > 500 && round == 0) ? ROUND / 10 : ROUND / 4;
			best = Math.min(best, round(targetCount, customerCount, router, count));
		}
		return best;
	}

	private static double round(int targetCount, int customerCount, Router<BenchTarget> router, int count)
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
		long beganNs = System.nanoTime();
		for (int call = 0; call < count; call++) {
			Specification.CustomerPolicy policy = policies[call % customerCount];
			RequestQueue.Flow flow = new RequestQueue.Flow(policy.customer(), false, 1);
			admission.admit(policy, (long) queue.costAhead(flow) / 1_000_000, call);
			queue.add(Hashing.combine(call % 512, 7), flow, costs.estimateTokens(policy.customer(), "r", 100));
			if (queue.size() > QUEUED) {
				BenchTarget target = router.choose(queue.poll((each) -> true).orElseThrow()).orElseThrow();
				target.start();
				running.add(target);
				admission.release(policy.customer());
			}
			if (running.size() > targetCount * 4) {
				running.remove(running.size() - 1).end();
			}
		}
		return (double) (System.nanoTime() - beganNs) / count;
	}

	private static double refusalNs() {
		AdmissionController admission = new AdmissionController();
		Specification.CustomerPolicy policy = new Specification.CustomerPolicy("c", 0, 0, 10, 1, 0);
		long beganNs = System.nanoTime();
		for (int call = 0; call < ROUND; call++) {
			try {
				admission.admit(policy, 11, call);
			}
			catch (ServiceException ex) {
				// The refusal is what is measured.
			}
		}
		return (double) (System.nanoTime() - beganNs) / ROUND;
	}

}
