/**
 * How control VMs with empty disks form a system or join one.
 */
@NullMarked
package org.zinniatack.core.membership;

import org.jspecify.annotations.NullMarked;
