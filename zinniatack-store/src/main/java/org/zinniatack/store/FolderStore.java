package org.zinniatack.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Stores a replica's state in a folder with the files {@code identity}, {@code founders},
 * {@code lock}, {@code snapshot-INDEX} and {@code journal-NUMBER}. Snapshots and new
 * journals are written to a temporary file, synced and atomically renamed.
 */
final class FolderStore implements ReplicaStore {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	private static final String FORMAT_VERSION = "1";

	private static final String FOUNDERS_FILE = "founders";

	private static final String JOURNAL_PREFIX = "journal-";

	private static final String SNAPSHOT_PREFIX = "snapshot-";

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private static final int INCARNATION_BYTES = 6;

	/**
	 * Files are synced in chunks so that a journal sync does not wait long behind a
	 * snapshot.
	 */
	private static final int SYNC_CHUNK_BYTES = 256 * 1024;

	private final Path folder;

	private final FolderLock lock;

	private final Journal.Factory journalFactory;

	private final String replicaId;

	private HardState hardState = HardState.initial();

	private Journal journal;

	private long journalNumber;

	private long journalLengthBytes;

	private boolean tornByFailedWrite;

	private volatile boolean initialized;

	private FolderStore(Path folder, FolderLock lock, Journal.Factory journalFactory, String replicaId)
			throws IOException, ServiceException {
		this.folder = folder;
		this.lock = lock;
		this.journalFactory = journalFactory;
		this.replicaId = replicaId;
		this.journalNumber = newestFile(JOURNAL_PREFIX).map((file) -> numberOf(file, JOURNAL_PREFIX)).orElse(0L);
		this.initialized = this.journalNumber > 0;
		if (this.initialized) {
			recover();
		}
		this.journal = journalFactory.open(journalPath());
	}

	static FolderStore open(Path folder, String replicaName, Journal.Factory journalFactory) throws ServiceException {
		try {
			Files.createDirectories(folder);
			FolderLock lock = FolderLock.acquire(folder);
			try {
				return new FolderStore(folder, lock, journalFactory, readOrCreateIdentity(folder, replicaName));
			}
			catch (IOException | ServiceException ex) {
				lock.close();
				throw ex;
			}
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	private static ServiceException diskFailure(IOException cause) {
		return ServiceException.of(ResultCode.DISK_FULL, String.valueOf(cause.getMessage()));
	}

	private static String readOrCreateIdentity(Path folder, String replicaName) throws IOException, ServiceException {
		Path file = folder.resolve("identity");
		if (!Files.exists(file)) {
			byte[] incarnation = new byte[INCARNATION_BYTES];
			new SecureRandom().nextBytes(incarnation);
			String id = replicaName + '.' + HexFormat.of().formatHex(incarnation);
			writeAtomically(folder, file, (FORMAT_VERSION + '\n' + id + '\n').getBytes(StandardCharsets.UTF_8));
		}
		List<String> lines = Files.readAllLines(file);
		if (lines.size() < 2 || !lines.get(0).equals(FORMAT_VERSION)) {
			throw ServiceException.of(ResultCode.FORMAT_UNKNOWN,
					"file " + file + " does not hold format version " + FORMAT_VERSION + " and a replica id");
		}
		return lines.get(1);
	}

	private static void writeAtomically(Path folder, Path file, byte[] bytes) throws IOException {
		Path temporaryFile = folder.resolve(file.getFileName() + TEMPORARY_SUFFIX);
		try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			ByteBuffer buffer = ByteBuffer.wrap(bytes);
			while (buffer.hasRemaining()) {
				int chunk = Math.min(SYNC_CHUNK_BYTES, buffer.remaining());
				ByteBuffer part = buffer.slice(buffer.position(), chunk);
				while (part.hasRemaining()) {
					channel.write(part);
				}
				buffer.position(buffer.position() + chunk);
				channel.force(false);
			}
			channel.force(true);
		}
		Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
		syncFolder(folder);
	}

	private static void syncFolder(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	private PersistentState recover() throws IOException, ServiceException {
		Snapshot snapshot = readSnapshot();
		Records.Content content = Records.decode(Files.readAllBytes(journalPath()));
		List<LogEntry> entries = new ArrayList<>();
		long baseIndex = 0;
		long baseTerm = 0;
		for (byte[] payload : content.payloads()) {
			Batch batch = Batch.decode(payload);
			if (batch.baseIndex() >= 0) {
				baseIndex = batch.baseIndex();
				baseTerm = batch.baseTerm();
			}
			replay(batch, entries);
		}
		if (content.torn()) {
			LOGGER.atWarning().log("event=torn_tail_cut file=%s length=%d", journalPath(), content.intactLengthBytes());
			try (Journal tornJournal = this.journalFactory.open(journalPath())) {
				tornJournal.truncate(content.intactLengthBytes());
			}
		}
		this.journalLengthBytes = content.intactLengthBytes();
		return new PersistentState(this.hardState, snapshot, entriesAfter(snapshot, baseIndex, baseTerm, entries));
	}

	private void replay(Batch batch, List<LogEntry> entries) {
		if (batch.hardState() != null) {
			this.hardState = batch.hardState();
		}
		if (batch.truncateFrom() > 0) {
			entries.removeIf((entry) -> entry.index() >= batch.truncateFrom());
		}
		entries.addAll(batch.entries());
	}

	/**
	 * Returns the entries after the snapshot, or none if the journal does not continue
	 * the snapshot.
	 */
	private static List<LogEntry> entriesAfter(Snapshot snapshot, long baseIndex, long baseTerm,
			List<LogEntry> entries) {
		boolean continuesSnapshot = (baseIndex == snapshot.index() && baseTerm == snapshot.term())
				|| entries.stream().anyMatch((e) -> e.index() == snapshot.index() && e.term() == snapshot.term());
		return continuesSnapshot ? entries.stream().filter((entry) -> entry.index() > snapshot.index()).toList()
				: List.of();
	}

	private Snapshot readSnapshot() throws IOException, ServiceException {
		Optional<Path> file = newestFile(SNAPSHOT_PREFIX);
		if (file.isEmpty()) {
			return Snapshot.empty();
		}
		Records.Content content = Records.decode(Files.readAllBytes(file.get()));
		if (content.payloads().size() != 1) {
			throw ServiceException.of(ResultCode.LOG_CORRUPT, "snapshot file " + file.get() + " holds "
					+ content.payloads().size() + " intact records instead of 1");
		}
		return MAPPER.readValue(content.payloads().get(0), Snapshot.class);
	}

	@Override
	public void close() {
		try {
			this.journal.close();
			this.lock.close();
		}
		catch (IOException ex) {
			LOGGER.atWarning().log("event=close_failed cause=\"%s\"", ex.getMessage());
		}
	}

	@Override
	public Set<String> founders() throws ServiceException {
		Path file = this.folder.resolve(FOUNDERS_FILE);
		try {
			return Files.exists(file) ? Set.copyOf(Files.readAllLines(file)) : Set.of();
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void rememberFounders(Set<String> names) throws ServiceException {
		try {
			writeAtomically(this.folder, this.folder.resolve(FOUNDERS_FILE),
					String.join("\n", names).getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void initialize(PersistentState state) throws ServiceException {
		if (this.initialized) {
			throw new IllegalStateException("the data folder is already initialized");
		}
		this.hardState = state.hardState();
		saveSnapshot(state.snapshot(), state.entries());
	}

	@Override
	public boolean isInitialized() {
		return this.initialized;
	}

	@Override
	public long journalBytes() {
		return this.journalLengthBytes;
	}

	@Override
	public PersistentState load() throws ServiceException {
		try {
			return this.initialized ? recover() : PersistentState.empty();
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	@Override
	public void persist(Effects effects) throws ServiceException {
		if (effects.hardState() != null) {
			this.hardState = effects.hardState();
		}
		if (effects.snapshot() != null) {
			saveSnapshot(effects.snapshot(), effects.entries());
		}
		else if (effects.needsSync()) {
			append(new Batch(effects.hardState(), -1, 0, effects.truncateFrom(), effects.entries()));
		}
	}

	private void append(Batch batch) throws ServiceException {
		try {
			if (this.tornByFailedWrite) {
				this.journal.truncate(this.journalLengthBytes);
				this.tornByFailedWrite = false;
			}
			ByteBuffer record = Records.encode(batch.encode());
			int length = record.remaining();
			this.journal.append(record);
			this.journal.sync();
			this.journalLengthBytes += length;
		}
		catch (IOException ex) {
			this.tornByFailedWrite = true;
			throw diskFailure(ex);
		}
	}

	@Override
	public String replicaId() {
		return this.replicaId;
	}

	@Override
	public void prepareSnapshot(Snapshot snapshot) throws ServiceException {
		try {
			byte[] record = Records.encode(MAPPER.writeValueAsBytes(snapshot)).array();
			writeAtomically(this.folder, snapshotPath(snapshot), record);
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	private Path snapshotPath(Snapshot snapshot) {
		return this.folder.resolve(SNAPSHOT_PREFIX + snapshot.index());
	}

	@Override
	public void saveSnapshot(Snapshot snapshot, List<LogEntry> laterEntries) throws ServiceException {
		if (snapshot.index() > 0 && !Files.exists(snapshotPath(snapshot))) {
			prepareSnapshot(snapshot);
		}
		try {
			startJournal(new Batch(this.hardState, snapshot.index(), snapshot.term(), 0, laterEntries));
			deleteOlder(JOURNAL_PREFIX, this.journalNumber);
			deleteOlder(SNAPSHOT_PREFIX, snapshot.index());
		}
		catch (IOException ex) {
			throw diskFailure(ex);
		}
	}

	private void startJournal(Batch first) throws IOException {
		byte[] record = Records.encode(first.encode()).array();
		Path next = this.folder.resolve(JOURNAL_PREFIX + (this.journalNumber + 1));
		writeAtomically(this.folder, next, record);
		this.journal.close();
		this.journalNumber++;
		this.journal = this.journalFactory.open(next);
		this.journalLengthBytes = record.length;
		this.initialized = true;
	}

	private void deleteOlder(String prefix, long number) throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.filter((path) -> isNumbered(path, prefix)).toList()) {
				if (numberOf(file, prefix) < number) {
					Files.deleteIfExists(file);
				}
			}
		}
	}

	private Path journalPath() {
		return this.folder.resolve(JOURNAL_PREFIX + this.journalNumber);
	}

	private Optional<Path> newestFile(String prefix) throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((path) -> isNumbered(path, prefix))
				.max(Comparator.comparingLong((path) -> numberOf(path, prefix)));
		}
	}

	private static boolean isNumbered(Path file, String prefix) {
		String name = file.getFileName().toString();
		return name.startsWith(prefix) && !name.endsWith(TEMPORARY_SUFFIX);
	}

	private static long numberOf(Path file, String prefix) {
		return Long.parseLong(file.getFileName().toString().substring(prefix.length()));
	}

}
