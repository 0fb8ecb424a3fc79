package org.zinniatack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Measures the processor time and memory of a process and the loopback traffic of the
 * machine, as reported by {@code /proc}.
 */
final class ProcessMeter {

	private static final double BINARY_KILO = 1024;

	private static final double NS_PER_S = 1e9;

	private static final double MS_PER_S = 1_000;

	private static final double TICKS_PER_S = 100;

	/** Index of utime in {@code /proc/PID/stat}, counted after the command name. */
	private static final int USER_TICKS_INDEX = 11;

	/** Index of stime in {@code /proc/PID/stat}, counted after the command name. */
	private static final int SYSTEM_TICKS_INDEX = 12;

	private final long pid;

	private double startProcessorS;

	private long startLoopbackBytes;

	private long startedNs;

	ProcessMeter(long pid) {
		this.pid = pid;
	}

	/** Starts a measurement. */
	void start() throws IOException {
		this.startProcessorS = processorS();
		this.startLoopbackBytes = loopbackBytes();
		this.startedNs = System.nanoTime();
	}

	/** Returns the average processor use since the start, in percent of a core. */
	double processorPercent() throws IOException {
		return (processorS() - this.startProcessorS) / elapsedS() * 100;
	}

	/** Returns the processor time since the start, in milliseconds. */
	double processorMs() throws IOException {
		return (processorS() - this.startProcessorS) * MS_PER_S;
	}

	/** Returns the loopback traffic of all processes since the start, in KB/s. */
	double loopbackKilobytesPerS() throws IOException {
		return (loopbackBytes() - this.startLoopbackBytes) / BINARY_KILO / elapsedS();
	}

	/** Returns the resident memory of the process, in MB. */
	double residentMb() throws IOException {
		for (String line : Files.readAllLines(procDirectory().resolve("status"))) {
			if (line.startsWith("VmRSS")) {
				return Double.parseDouble(line.replaceAll("[^0-9]", "")) / BINARY_KILO;
			}
		}
		return 0;
	}

	private double elapsedS() {
		return (System.nanoTime() - this.startedNs) / NS_PER_S;
	}

	private Path procDirectory() {
		return Path.of("/proc", Long.toString(this.pid));
	}

	private double processorS() throws IOException {
		String stat = Files.readString(procDirectory().resolve("stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Double.parseDouble(fields[USER_TICKS_INDEX]) + Double.parseDouble(fields[SYSTEM_TICKS_INDEX]))
				/ TICKS_PER_S;
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
