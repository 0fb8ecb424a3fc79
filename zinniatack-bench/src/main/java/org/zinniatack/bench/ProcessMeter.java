package org.zinniatack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads what the operating system counts of a process and of the loopback interface.
 */
final class ProcessMeter {

	private static final double KB_A_MB = 1024;

	private static final double NS_A_S = 1e9;

	private static final double MS_A_S = 1_000;

	private static final double TICKS_A_S = 100;

	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	private final long pid;

	private double processorAtStartS;

	private long bytesAtStart;

	private long startedNs;

	ProcessMeter(long pid) {
		this.pid = pid;
	}

	/** Begins a measurement. */
	void start() throws IOException {
		this.processorAtStartS = processorS();
		this.bytesAtStart = loopbackBytes();
		this.startedNs = System.nanoTime();
	}

	/** Returns the processor time since the start, in percent of a core. */
	double processorPercent() throws IOException {
		return (processorS() - this.processorAtStartS) / elapsedS() * 100;
	}

	/** Returns the processor time since the start, in milliseconds. */
	double processorMs() throws IOException {
		return (processorS() - this.processorAtStartS) * MS_A_S;
	}

	/** Returns the loopback traffic of all processes since the start, in KB/s. */
	double loopbackKilobytesPerS() throws IOException {
		return (loopbackBytes() - this.bytesAtStart) / KB_A_MB / elapsedS();
	}

	/** Returns the resident memory in MB. */
	double residentMb() throws IOException {
		for (String line : Files.readAllLines(folder().resolve("status"))) {
			if (line.startsWith("VmRSS")) {
				return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_A_MB;
			}
		}
		return 0;
	}

	private double elapsedS() {
		return (System.nanoTime() - this.startedNs) / NS_A_S;
	}

	private Path folder() {
		return Path.of("/proc", Long.toString(this.pid));
	}

	private double processorS() throws IOException {
		String stat = Files.readString(folder().resolve("stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Double.parseDouble(fields[USER_TICKS]) + Double.parseDouble(fields[SYSTEM_TICKS])) / TICKS_A_S;
	}

	private static long loopbackBytes() throws IOException {
		for (String line : Files.readAllLines(Path.of("/proc/net/dev"))) {
			if (line.trim().startsWith("lo:")) {
				return Long.parseLong(line.trim().split("\\s+")[1]);
			}
		}
		return 0;
	}

}
