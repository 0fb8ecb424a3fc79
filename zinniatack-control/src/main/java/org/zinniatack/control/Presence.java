package org.zinniatack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.zinniatack.wire.Message;

/**
 * The newest reports of entries: those connected to this replica and, on the leader,
 * those that other replicas pass on.
 */
final class Presence {

	private static final long MEMORY_MS = 3_000;

	private final Map<String, Received> reports = new HashMap<>();

	/** Takes a report over. */
	synchronized void report(Message.EntryReport report, boolean direct, long nowMs) {
		this.reports.put(report.nodeId(), new Received(report, direct, nowMs));
	}

	/** Returns the reports of entries that are connected to this replica. */
	synchronized List<Message.EntryReport> direct(long nowMs) {
		return fresh(nowMs).stream().filter(Received::direct).map(Received::report).toList();
	}

	/** Returns all reports that are not too old. */
	synchronized List<Message.EntryReport> all(long nowMs) {
		return fresh(nowMs).stream().map(Received::report).toList();
	}

	/** Returns the addresses of all entries by id. */
	synchronized Map<String, String> addresses(long nowMs) {
		Map<String, String> addresses = new TreeMap<>();
		fresh(nowMs).forEach((received) -> addresses.put(received.report().nodeId(), received.report().address()));
		return addresses;
	}

	/** Returns the targets of all entries. */
	synchronized Collection<Message.TargetState> targets(long nowMs) {
		Map<String, Message.TargetState> targets = new TreeMap<>();
		fresh(nowMs).forEach(
				(received) -> received.report().targets().forEach((target) -> targets.put(target.targetId(), target)));
		return targets.values();
	}

	private List<Received> fresh(long nowMs) {
		this.reports.values().removeIf((received) -> nowMs - received.atMs() > MEMORY_MS);
		return new ArrayList<>(this.reports.values());
	}

	private record Received(Message.EntryReport report, boolean direct, long atMs) {
	}

}
