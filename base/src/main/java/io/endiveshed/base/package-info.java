/** Value types for ids, typed errors and their outcomes, shared by every module. */
package io.endiveshed.base;
