package org.zinniatack.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;

import org.jfree.data.xy.XYSeries;
import picocli.CommandLine;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.queue.RequestQueue;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.core.routing.Router;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.target.ScalingPolicy;

/**
 * Compares each policy with its baseline in simulations with virtual time and fixed
 * seeds.
 */
@CommandLine.Command(name = "policy", description = "Compares each policy with its baseline in virtual time.")
final class PolicyBench implements Callable<Integer> {

	private static final int SLOTS = 48;

	private static final int CUSTOMERS = 8;

	private static final double TOKENS_PER_S = 50;

	private static final double REQUEST_TOKENS = 100;

	private static final double DURATION_S = 600;

	private static final int GREEDY_LOAD_FACTOR = 20;

	private static final int RESERVED_SLOT_DIVISOR = 8;

	@CommandLine.Option(names = "--plots", defaultValue = "docs/plots", description = "the directory of the plots")
	private Path plots;

	@Override
	public Integer call() throws Exception {
		compareFairness();
		compareInteractiveLatency();
		compareStragglerPolicies();
		compareRouters();
		compareScalingPolicies();
		return 0;
	}

	private void compareFairness() throws Exception {
		Table table = new Table("queue", "worst-served share of max-min", "greedy customer's share");
		List<XYSeries> series = new ArrayList<>();
		for (Map.Entry<String, RequestQueue<SimulatedRequest>> queue : createQueues().entrySet()) {
			double[] loadFactors = new double[CUSTOMERS];
			Arrays.fill(loadFactors, 0.9);
			loadFactors[0] = GREEDY_LOAD_FACTOR;
			double[] served = new Simulation(queue.getValue(), loadFactors, 0).run();
			double fairTokens = SLOTS * TOKENS_PER_S * DURATION_S / CUSTOMERS;
			double worst = Double.MAX_VALUE;
			XYSeries shares = new XYSeries(queue.getKey());
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				shares.add(customer, served[customer] / fairTokens);
				if (customer > 0) {
					worst = Math.min(worst, served[customer] / (fairTokens * 0.9));
				}
			}
			series.add(shares);
			table.row(queue.getKey(), worst, served[0] / fairTokens);
		}
		System.out.println("### One customer offers 20 times its share\n");
		table.print();
		Table.plot(this.plots.resolve("fairness.png"), "Served share, customer 0 offers 20 times its own", "customer",
				"served / fair share", series);
	}

	private static Map<String, RequestQueue<SimulatedRequest>> createQueues() {
		Map<String, RequestQueue<SimulatedRequest>> queues = new LinkedHashMap<>();
		queues.put("first in first out", RequestQueue.firstInFirstOut());
		queues.put("weighted fair", RequestQueue.weightedFair());
		return queues;
	}

	private void compareInteractiveLatency() {
		Table table = new Table("queue", "p95 alone, ms", "p95 with trainers, ms", "ratio");
		double[] aloneFactors = new double[CUSTOMERS];
		aloneFactors[1] = 0.2;
		double[] saturatedFactors = aloneFactors.clone();
		saturatedFactors[0] = GREEDY_LOAD_FACTOR;
		for (String name : createQueues().keySet()) {
			Simulation aloneRun = new Simulation(createQueues().get(name), aloneFactors, RESERVED_SLOT_DIVISOR);
			aloneRun.run();
			Simulation saturatedRun = new Simulation(createQueues().get(name), saturatedFactors,
					name.startsWith("first") ? 0 : RESERVED_SLOT_DIVISOR);
			saturatedRun.run();
			table.row(name, aloneRun.p95Ms(1), saturatedRun.p95Ms(1), saturatedRun.p95Ms(1) / aloneRun.p95Ms(1));
		}
		System.out.println("### An interactive caller while trainers saturate the engines\n");
		table.print();
	}

	private void compareStragglerPolicies() {
		Table table = new Table("policy", "time until whole, s", "ratio", "extra tokens, %");
		double[] noReissue = simulateStep(StragglerPolicy.never());
		double[] withReissue = simulateStep(StragglerPolicy.medianMultiple(2048, 2, 0.04));
		table.row("no re-issue", noReissue[0], 1.0, 0.0);
		table.row("re-issue after 2 medians", withReissue[0], withReissue[0] / noReissue[0], 100 * withReissue[1]);
		System.out.println("### A step of 2,048 samples, 1% at 10 times the usual length, on 600 slots\n");
		table.print();
	}

	/**
	 * Simulates a step on 600 slots. Returns the time until every sample is finished, in
	 * seconds, and the extra tokens as a share of the tokens without reissues. A reissue
	 * counts for at most 10 s.
	 */
	private static double[] simulateStep(StragglerPolicy policy) {
		int samples = 2048;
		SplittableRandom random = new SplittableRandom(7);
		PriorityQueue<double[]> running = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
		Map<Integer, Double> startTimesS = new HashMap<>();
		boolean[] done = new boolean[samples];
		int nextSample = 0;
		int remaining = samples;
		int busySlots = 0;
		double nowS = 0;
		double extraS = 0;
		double baseS = 0;
		while (remaining > 0) {
			while (busySlots < 600 && nextSample < samples) {
				double lengthS = randomLengthS(random);
				running.add(new double[] { nowS + lengthS, nextSample, lengthS });
				startTimesS.put(nextSample++, nowS);
				baseS += lengthS;
				busySlots++;
			}
			nowS += 0.1;
			while (!running.isEmpty() && running.peek()[0] <= nowS) {
				double[] finished = running.poll();
				busySlots--;
				if (!done[(int) finished[1]]) {
					done[(int) finished[1]] = true;
					remaining--;
					policy.recordDuration((long) (1_000 * (nowS - startTimesS.get((int) finished[1]))));
				}
			}
			int reissued = 0;
			for (Map.Entry<Integer, Double> started : startTimesS.entrySet()) {
				boolean isReissued = !done[started.getKey()]
						&& policy.tryReissue((long) (1_000 * (nowS - started.getValue())));
				if (isReissued) {
					double lengthS = randomLengthS(random);
					running.add(new double[] { nowS + lengthS, started.getKey(), lengthS });
					started.setValue(nowS);
					extraS += Math.min(lengthS, 10);
					reissued++;
				}
			}
			busySlots += reissued;
		}
		return new double[] { nowS, extraS / baseS };
	}

	private static double randomLengthS(SplittableRandom random) {
		return (8 + 4 * random.nextDouble()) * ((random.nextInt(100) == 0) ? 10 : 1);
	}

	private void compareRouters() {
		Table table = new Table("router", "prefix hits, %", "fullest / mean load");
		addRow(table, "least loaded", Router.leastLoaded());
		for (double slack : new double[] { 0, 0.125, 0.25, 0.375 }) {
			addRow(table, "prefix affinity, slack " + slack,
					Router.prefixAffinity("a", new SplittableRandom(3), slack));
		}
		System.out.println("### 400 prefixes over 12 targets that cache 48 each\n");
		table.print();
	}

	private static void addRow(Table table, String name, Router<BenchTarget> router) {
		double[] result = simulateRouting(router);
		table.row(name, 100 * result[0], result[1]);
	}

	private static double[] simulateRouting(Router<BenchTarget> router) {
		List<BenchTarget> targets = new ArrayList<>();
		for (int number = 0; number < 12; number++) {
			targets.add(new BenchTarget("t" + number));
		}
		router.updateTargets(targets);
		SplittableRandom random = new SplittableRandom(5);
		List<BenchTarget> running = new ArrayList<>();
		int hits = 0;
		int calls = 100_000;
		double imbalance = 0;
		for (int call = 0; call < calls; call++) {
			int prefix = (int) (400 * Math.pow(random.nextDouble(), 2));
			BenchTarget target = router.choose(Hashing.of("p" + prefix)).orElseThrow();
			hits += target.startWithPrefix(prefix) ? 1 : 0;
			running.add(target);
			if (running.size() > 60) {
				running.remove(random.nextInt(running.size())).end();
			}
			imbalance += targets.stream().mapToInt(BenchTarget::running).max().orElse(0) / 5.0;
		}
		return new double[] { (double) hits / calls, imbalance / calls };
	}

	private void compareScalingPolicies() throws Exception {
		Table table = new Table("policy", "target-hours", "changes of the order", "unserved load, %");
		List<XYSeries> series = new ArrayList<>();
		for (String name : List.of("immediate", "hysteresis 60 s")) {
			ScalingPolicy policy = name.startsWith("imm") ? ScalingPolicy.immediate()
					: ScalingPolicy.hysteresis(60_000);
			series.add(simulateScaling(name, policy, table));
		}
		System.out.println("### Load that doubles and halves, reported with noise and a lag of 5 s\n");
		table.print();
		Table.plot(this.plots.resolve("demand.png"), "Targets ordered while load doubles and halves", "s", "targets",
				series);
	}

	private static XYSeries simulateScaling(String name, ScalingPolicy policy, Table table) {
		Specification.PoolPolicy poolPolicy = new Specification.PoolPolicy("p", 1, 100, 8, 0);
		SplittableRandom random = new SplittableRandom(11);
		XYSeries series = new XYSeries(name);
		int ordered = 1;
		int changes = 0;
		double targetHours = 0;
		double unserved = 0;
		double total = 0;
		for (int second = 0; second < 3600; second++) {
			double load = 80 * (((second / 600) % 2 == 0) ? 1 : 2);
			double reportedLoad = 80 * ((((second - 5) / 600) % 2 == 0) ? 1 : 2) * (0.85 + 0.3 * random.nextDouble());
			int desired = policy.targetCount(poolPolicy, new ScalingPolicy.Load(0, (int) reportedLoad), ordered,
					second * 1000L);
			changes += (desired != ordered) ? 1 : 0;
			ordered = desired;
			targetHours += ordered / 3600.0;
			unserved += Math.max(0, load - 8.0 * ordered);
			total += load;
			series.add(second, ordered);
		}
		table.row(name, targetHours, changes, 100 * unserved / total);
		return series;
	}

	/** Request of a simulated customer. */
	private record SimulatedRequest(int customer, double arrivedS, double tokens) {
	}

	/**
	 * Open-loop simulation: customers send requests as Poisson processes to a fixed
	 * number of slots behind a queue.
	 */
	private static final class Simulation {

		private final RequestQueue<SimulatedRequest> queue;

		private final double[] loadFactors;

		private final int reservedSlotDivisor;

		private final SplittableRandom random = new SplittableRandom(42);

		private final double[] served = new double[CUSTOMERS];

		private final List<List<Double>> latencies = new ArrayList<>();

		private final PriorityQueue<double[]> running = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));

		Simulation(RequestQueue<SimulatedRequest> queue, double[] loadFactors, int reservedSlotDivisor) {
			this.queue = queue;
			this.loadFactors = loadFactors;
			this.reservedSlotDivisor = reservedSlotDivisor;
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				this.latencies.add(new ArrayList<>());
			}
		}

		/** Runs the simulation and returns the tokens served to each customer. */
		double[] run() {
			double fairPerS = SLOTS * TOKENS_PER_S / REQUEST_TOKENS / CUSTOMERS;
			PriorityQueue<double[]> arrivals = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				if (this.loadFactors[customer] > 0) {
					arrivals.add(new double[] { nextGapS(fairPerS * this.loadFactors[customer]), customer });
				}
			}
			while (!arrivals.isEmpty() && arrivals.peek()[0] < DURATION_S) {
				double[] arrival = arrivals.poll();
				double nowS = arrival[0];
				completeUntil(nowS);
				int customer = (int) arrival[1];
				this.queue.add(new SimulatedRequest(customer, nowS, REQUEST_TOKENS * (0.5 + this.random.nextDouble())),
						new RequestQueue.Flow("c" + customer, customer == 0, 1), REQUEST_TOKENS);
				startQueued(nowS);
				arrivals.add(new double[] { nowS + nextGapS(fairPerS * this.loadFactors[customer]), customer });
			}
			return this.served;
		}

		private double nextGapS(double ratePerS) {
			return -Math.log(1 - this.random.nextDouble()) / ratePerS;
		}

		private void completeUntil(double nowS) {
			while (!this.running.isEmpty() && this.running.peek()[0] <= nowS) {
				double[] finished = this.running.poll();
				int customer = (int) finished[1];
				this.served[customer] += finished[2];
				this.latencies.get(customer).add(1_000 * (finished[0] - finished[3]));
				startQueued(finished[0]);
			}
		}

		private void startQueued(double nowS) {
			int reserved = (this.reservedSlotDivisor > 0) ? SLOTS / this.reservedSlotDivisor : 0;
			while (this.running.size() < SLOTS) {
				int free = SLOTS - this.running.size();
				Optional<SimulatedRequest> next = this.queue.poll((flow) -> !flow.bulk() || free > reserved);
				if (next.isEmpty()) {
					return;
				}
				SimulatedRequest request = next.get();
				this.running.add(new double[] { nowS + request.tokens() / TOKENS_PER_S, request.customer(),
						request.tokens(), request.arrivedS() });
			}
		}

		double p95Ms(int customer) {
			List<Double> sorted = this.latencies.get(customer).stream().sorted().toList();
			return sorted.get((int) (sorted.size() * 0.95));
		}

	}

}
