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
 * Compares each policy with its baseline under virtual time and a fixed seed.
 */
@CommandLine.Command(name = "policy", description = "Compares each policy with its baseline under virtual time.")
final class PolicyBench implements Callable<Integer> {

	private static final int SLOTS = 48;

	private static final int CUSTOMERS = 8;

	private static final double TOKENS_PER_S = 50;

	private static final double REQUEST_TOKENS = 100;

	private static final double DURATION_S = 600;

	private static final int GREEDY_MULTIPLE = 20;

	private static final int RESERVED_SHARE = 8;

	@CommandLine.Option(names = "--plots", defaultValue = "docs/plots", description = "where plots are written")
	private Path plots;

	@Override
	public Integer call() throws Exception {
		fairness();
		interactive();
		stragglers();
		affinity();
		demand();
		return 0;
	}

	private void fairness() throws Exception {
		Table table = new Table("queue", "worst-served share of max-min", "greedy customer's share");
		List<XYSeries> series = new ArrayList<>();
		for (Map.Entry<String, RequestQueue<Job>> queue : queues().entrySet()) {
			double[] offered = new double[CUSTOMERS];
			Arrays.fill(offered, 0.9);
			offered[0] = GREEDY_MULTIPLE;
			double[] served = new Simulation(queue.getValue(), offered, 0).run();
			double fair = SLOTS * TOKENS_PER_S * DURATION_S / CUSTOMERS;
			double worst = Double.MAX_VALUE;
			XYSeries shares = new XYSeries(queue.getKey());
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				shares.add(customer, served[customer] / fair);
				if (customer > 0) {
					worst = Math.min(worst, served[customer] / (fair * 0.9));
				}
			}
			series.add(shares);
			table.row(queue.getKey(), worst, served[0] / fair);
		}
		System.out.println("### One customer offers 20 times its share\n");
		table.print();
		Table.plot(this.plots.resolve("fairness.png"), "Served share, customer 0 offers 20 times its own", "customer",
				"served / fair share", series);
	}

	private static Map<String, RequestQueue<Job>> queues() {
		Map<String, RequestQueue<Job>> queues = new LinkedHashMap<>();
		queues.put("first in first out", RequestQueue.firstInFirstOut());
		queues.put("weighted fair", RequestQueue.weightedFair());
		return queues;
	}

	private void interactive() {
		Table table = new Table("queue", "p95 alone, ms", "p95 with trainers, ms", "ratio");
		double[] alone = new double[CUSTOMERS];
		alone[1] = 0.2;
		double[] saturated = alone.clone();
		saturated[0] = GREEDY_MULTIPLE;
		for (String name : queues().keySet()) {
			Simulation quiet = new Simulation(queues().get(name), alone, RESERVED_SHARE);
			quiet.run();
			Simulation busy = new Simulation(queues().get(name), saturated,
					name.startsWith("first") ? 0 : RESERVED_SHARE);
			busy.run();
			table.row(name, quiet.p95Ms(1), busy.p95Ms(1), busy.p95Ms(1) / quiet.p95Ms(1));
		}
		System.out.println("### An interactive caller while trainers saturate the engines\n");
		table.print();
	}

	private void stragglers() {
		Table table = new Table("policy", "time until whole, s", "ratio", "extra tokens, %");
		double[] never = step(StragglerPolicy.never());
		double[] again = step(StragglerPolicy.medianMultiple(2048, 2, 0.04));
		table.row("no re-issue", never[0], 1.0, 0.0);
		table.row("re-issue after 2 medians", again[0], again[0] / never[0], 100 * again[1]);
		System.out.println("### A step of 2,048 samples, 1% at 10 times the usual length, on 600 slots\n");
		table.print();
	}

	/** Returns the time until a step is whole and the extra share of tokens. */
	private static double[] step(StragglerPolicy policy) {
		int slots = 2048;
		SplittableRandom random = new SplittableRandom(7);
		PriorityQueue<double[]> running = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
		Map<Integer, Double> startedAt = new HashMap<>();
		boolean[] done = new boolean[slots];
		int next = 0;
		int left = slots;
		int busy = 0;
		double now = 0;
		double extra = 0;
		double usual = 0;
		while (left > 0) {
			while (busy < 600 && next < slots) {
				double length = length(random);
				running.add(new double[] { now + length, next, length });
				startedAt.put(next++, now);
				usual += length;
				busy++;
			}
			now += 0.1;
			while (!running.isEmpty() && running.peek()[0] <= now) {
				double[] finished = running.poll();
				busy--;
				if (!done[(int) finished[1]]) {
					done[(int) finished[1]] = true;
					left--;
					policy.recordDuration((long) (1_000 * (now - startedAt.get((int) finished[1]))));
				}
			}
			int issued = 0;
			for (Map.Entry<Integer, Double> started : startedAt.entrySet()) {
				boolean slow = !done[started.getKey()]
						&& policy.tryReissue((long) (1_000 * (now - started.getValue())));
				if (slow) {
					double length = length(random);
					running.add(new double[] { now + length, started.getKey(), length });
					started.setValue(now);
					extra += Math.min(length, 10);
					issued++;
				}
			}
			busy += issued;
		}
		return new double[] { now, extra / usual };
	}

	private static double length(SplittableRandom random) {
		return (8 + 4 * random.nextDouble()) * ((random.nextInt(100) == 0) ? 10 : 1);
	}

	private void affinity() {
		Table table = new Table("router", "prefix hits, %", "fullest / mean load");
		row(table, "least loaded", Router.leastLoaded());
		for (double slack : new double[] { 0, 0.125, 0.25, 0.375 }) {
			row(table, "prefix affinity, slack " + slack, Router.prefixAffinity("a", new SplittableRandom(3), slack));
		}
		System.out.println("### 400 prefixes over 12 targets that cache 48 each\n");
		table.print();
	}

	private static void row(Table table, String name, Router<BenchTarget> router) {
		double[] figures = route(router);
		table.row(name, 100 * figures[0], figures[1]);
	}

	private static double[] route(Router<BenchTarget> router) {
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
			hits += target.take(prefix) ? 1 : 0;
			running.add(target);
			if (running.size() > 60) {
				running.remove(random.nextInt(running.size())).end();
			}
			imbalance += targets.stream().mapToInt(BenchTarget::running).max().orElse(0) / 5.0;
		}
		return new double[] { (double) hits / calls, imbalance / calls };
	}

	private void demand() throws Exception {
		Table table = new Table("policy", "target-hours", "changes of the order", "unserved load, %");
		List<XYSeries> series = new ArrayList<>();
		for (String name : List.of("immediate", "hysteresis 60 s")) {
			ScalingPolicy policy = name.startsWith("imm") ? ScalingPolicy.immediate()
					: ScalingPolicy.hysteresis(60_000);
			series.add(follow(name, policy, table));
		}
		System.out.println("### Load that doubles and halves, reported with noise and a lag of 5 s\n");
		table.print();
		Table.plot(this.plots.resolve("demand.png"), "Targets ordered while load doubles and halves", "s", "targets",
				series);
	}

	private static XYSeries follow(String name, ScalingPolicy policy, Table table) {
		Specification.PoolPolicy limits = new Specification.PoolPolicy("p", 1, 100, 8, 0);
		SplittableRandom random = new SplittableRandom(11);
		XYSeries series = new XYSeries(name);
		int ordered = 1;
		int changes = 0;
		double targetHours = 0;
		double unserved = 0;
		double total = 0;
		for (int second = 0; second < 3600; second++) {
			double load = 80 * (((second / 600) % 2 == 0) ? 1 : 2);
			double lagged = 80 * ((((second - 5) / 600) % 2 == 0) ? 1 : 2) * (0.85 + 0.3 * random.nextDouble());
			int wanted = policy.targetCount(limits, new ScalingPolicy.Load(0, (int) lagged), ordered, second * 1000L);
			changes += (wanted != ordered) ? 1 : 0;
			ordered = wanted;
			targetHours += ordered / 3600.0;
			unserved += Math.max(0, load - 8.0 * ordered);
			total += load;
			series.add(second, ordered);
		}
		table.row(name, targetHours, changes, 100 * unserved / total);
		return series;
	}

	/** A request in the simulation. */
	private record Job(int customer, double arrivedS, double tokens) {
	}

	/** Open arrivals of customers at slots behind a queue. */
	private static final class Simulation {

		private final RequestQueue<Job> queue;

		private final double[] offered;

		private final int reservedShare;

		private final SplittableRandom random = new SplittableRandom(42);

		private final double[] served = new double[CUSTOMERS];

		private final List<List<Double>> latencies = new ArrayList<>();

		private final PriorityQueue<double[]> running = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));

		Simulation(RequestQueue<Job> queue, double[] offered, int reservedShare) {
			this.queue = queue;
			this.offered = offered;
			this.reservedShare = reservedShare;
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				this.latencies.add(new ArrayList<>());
			}
		}

		/** Returns the tokens served to each customer. */
		double[] run() {
			double fairPerS = SLOTS * TOKENS_PER_S / REQUEST_TOKENS / CUSTOMERS;
			PriorityQueue<double[]> arrivals = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
			for (int customer = 0; customer < CUSTOMERS; customer++) {
				if (this.offered[customer] > 0) {
					arrivals.add(new double[] { gap(fairPerS * this.offered[customer]), customer });
				}
			}
			while (!arrivals.isEmpty() && arrivals.peek()[0] < DURATION_S) {
				double[] arrival = arrivals.poll();
				double now = arrival[0];
				complete(now);
				int customer = (int) arrival[1];
				this.queue.add(new Job(customer, now, REQUEST_TOKENS * (0.5 + this.random.nextDouble())),
						new RequestQueue.Flow("c" + customer, customer == 0, 1), REQUEST_TOKENS);
				start(now);
				arrivals.add(new double[] { now + gap(fairPerS * this.offered[customer]), customer });
			}
			return this.served;
		}

		private double gap(double ratePerS) {
			return -Math.log(1 - this.random.nextDouble()) / ratePerS;
		}

		private void complete(double now) {
			while (!this.running.isEmpty() && this.running.peek()[0] <= now) {
				double[] finished = this.running.poll();
				int customer = (int) finished[1];
				this.served[customer] += finished[2];
				this.latencies.get(customer).add(1_000 * (finished[0] - finished[3]));
				start(finished[0]);
			}
		}

		private void start(double now) {
			int reserved = (this.reservedShare > 0) ? SLOTS / this.reservedShare : 0;
			while (this.running.size() < SLOTS) {
				int free = SLOTS - this.running.size();
				Optional<Job> next = this.queue.poll((flow) -> !flow.bulk() || free > reserved);
				if (next.isEmpty()) {
					return;
				}
				Job job = next.get();
				this.running.add(new double[] { now + job.tokens() / TOKENS_PER_S, job.customer(), job.tokens(),
						job.arrivedS() });
			}
		}

		double p95Ms(int customer) {
			List<Double> sorted = this.latencies.get(customer).stream().sorted().toList();
			return sorted.get((int) (sorted.size() * 0.95));
		}

	}

}
