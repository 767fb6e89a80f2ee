/** Places prompts on model engines by a cost model of their batches. */
package io.endiveshed.coordination.engine;
