// Package jobmemory decides how much accepted work the owner of the cell may hold. A job that has not
// ended is kept in the memory of the owner, and a job of legal size may take megabytes. The owner reports
// what its jobs take; each instance rejects new jobs for which there is no room.
package jobmemory
